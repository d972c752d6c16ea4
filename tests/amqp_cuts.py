"""Cuts a connection at every step of publish, deliver, result, ack and answer, and holds what came of it
against the rules. The ledger is kept by the stand-ins, never by the node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from amqp_rig import AmqpRig, Peer, works
from msgspec import Struct
from pamqp import frame

BUDGET = 600  # ms that the publisher gives


class Cut(Struct, frozen=True):
    """`whose` wire breaks after `offset` bytes `way` ("in" to the node, "out" of it), counted from the
    publish."""

    whose: str
    way: str
    offset: int
    where: str = ""


class Story(Struct):
    """What came of one run."""

    runs: int
    answers: list[str]
    confirms: list[str]
    broken: list[str]


def _setup(key: str) -> tuple[AmqpRig, Peer, Peer, Peer | None, Counter[str]]:
    rig, ledger = AmqpRig(), Counter[str]()
    publisher = rig.publisher()
    worker = rig.peer()
    works(worker, ledger)
    worker.subscribe(key)
    return rig, publisher, worker, None, ledger


def _tap(peer: Peer) -> tuple[bytearray, bytearray]:
    """What passes on a wire from now on: in, out."""
    seen = bytearray(), bytearray()
    feed, received = peer.feed, peer.wire.protocol.dataReceived

    def fed(data: bytes) -> None:
        seen[1].extend(data)
        feed(data)

    def got(data: bytes) -> None:
        seen[0].extend(data)
        received(data)

    peer.feed, peer.wire.protocol.dataReceived = fed, got  # type: ignore[method-assign]
    return seen


def points(key: str, ending: bool) -> Iterator[Cut]:
    """Every cut: before, inside and after each frame that passes when nothing breaks."""
    rig, publisher, worker, _, _ = _setup(key)
    taps = {"publisher": _tap(publisher), "worker": _tap(worker)}
    _publish(rig, publisher, key, ending)
    rig.pass_time(BUDGET, 20.0)
    for whose, (inward, outward) in taps.items():
        for way, data in (("in", bytes(inward)), ("out", bytes(outward))):
            start = 0
            while start < len(data):
                used, _, told = frame.unmarshal(data[start:])
                name = getattr(told, "name", type(told).__name__)
                for offset in sorted({start, start + 1, start + used // 2, start + used - 1, start + used}):
                    yield Cut(whose, way, offset, f"{name}+{offset - start}/{used}")
                start += used


def _publish(rig: AmqpRig, publisher: Peer, key: str, ending: bool) -> None:
    rig.ask(publisher, "a", key, expiration=str(BUDGET))
    if ending:  # SIGTERM comes while the work is under way
        for peer in rig.peers:
            peer.wire.carry()
        rig.server.stop()


def tell(key: str, cut: Cut, ending: bool, second: bool) -> Story:
    """Play one run with the cut; `second`: another subscriber is there that nothing happens to."""
    rig, publisher, worker, _, ledger = _setup(key)
    if second:
        other = rig.peer()
        works(other, ledger)
        other.subscribe(key, tag="other")
    wire = (publisher if cut.whose == "publisher" else worker).wire
    if cut.way == "in":
        wire.in_left = cut.offset
    else:
        wire.out_left = cut.offset
    if cut.offset == 0 and cut.way == "in":
        wire.cut(ConnectionError())
    _publish(rig, publisher, key, ending)
    rig.pass_time(BUDGET + 200, 20.0)
    answers = [outcome for outcome, *_ in publisher.answers()]
    confirms = [word for word, _ in publisher.confirms()]
    return Story(ledger["a"], answers, confirms, _broken(rig, key, publisher, ledger["a"], answers, confirms))


def _broken(
    rig: AmqpRig, key: str, publisher: Peer, runs: int, answers: list[str], confirms: list[str]
) -> list[str]:
    """The rules that do not hold."""
    found = []
    if key == "reminder" and runs > 1:
        found.append(f"ran {runs} times")
    if publisher.wire.up and len(answers) != 1:
        found.append(f"{len(answers)} answers")
    if publisher.wire.up and len(confirms) != 1:
        found.append(f"{len(confirms)} confirms")
    if len(answers) > 1 or len(confirms) > 1:
        found.append("answered more than once")
    if answers and confirms and (answers[0] == "served") != (confirms[0] == "ack"):
        found.append(f"{answers[0]} and {confirms[0]}")
    if answers == ["served"] and not runs:
        found.append("served without a run")
    if answers == ["refused"] and runs and key == "reminder":
        found.append("refused after a run")
    if not rig.at_rest():
        found.append("something is still owed")
    answered = sum(rig.broker.counts[word] for word in ("served", "rejected", "failed"))
    if answered > 1:
        found.append(f"the core answered {answered} times")
    return found
