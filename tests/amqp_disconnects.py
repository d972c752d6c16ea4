"""Breaks a connection at each step of publish, deliver, result, ack and answer, and checks the outcome.

Runs are counted by the scripted peers, not by the node.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from amqp_rig import AmqpRig, Peer, run_jobs
from msgspec import Struct
from pamqp import frame

BUDGET = 600  # ms; expiration of the published message


class Disconnect(Struct, frozen=True):
    """The wire of `peer` breaks after `offset` bytes in a direction, counted from the publish.

    `direction` is "in" to the node or "out" of it; `position` names the frame.
    """

    peer: str
    direction: str
    offset: int
    position: str = ""


class Outcome(Struct):
    """Outcome of one scenario."""

    runs: int
    answers: list[str]
    confirms: list[str]
    violations: list[str]


def _setup(key: str) -> tuple[AmqpRig, Peer, Peer, Peer | None, Counter[str]]:
    rig, run_counts = AmqpRig(), Counter[str]()
    publisher = rig.publisher()
    worker = rig.peer()
    run_jobs(worker, run_counts)
    worker.subscribe(key)
    return rig, publisher, worker, None, run_counts


def _record(peer: Peer) -> tuple[bytearray, bytearray]:
    """Record all bytes that pass on a wire from now on: in, out."""
    recorded = bytearray(), bytearray()
    feed, received = peer.feed, peer.wire.protocol.dataReceived

    def record_out(data: bytes) -> None:
        recorded[1].extend(data)
        feed(data)

    def record_in(data: bytes) -> None:
        recorded[0].extend(data)
        received(data)

    peer.feed, peer.wire.protocol.dataReceived = record_out, record_in  # type: ignore[method-assign]
    return recorded


def disconnect_points(key: str, shutdown: bool) -> Iterator[Disconnect]:
    """Yield all break points: before, inside and after each frame of an undisturbed scenario."""
    rig, publisher, worker, _, _ = _setup(key)
    recordings = {"publisher": _record(publisher), "worker": _record(worker)}
    _publish(rig, publisher, key, shutdown)
    rig.advance(BUDGET, 20.0)
    for peer, (inward, outward) in recordings.items():
        for direction, data in (("in", bytes(inward)), ("out", bytes(outward))):
            start = 0
            while start < len(data):
                frame_size, _, received_frame = frame.unmarshal(data[start:])
                name = getattr(received_frame, "name", type(received_frame).__name__)
                for offset in sorted(
                    {start, start + 1, start + frame_size // 2, start + frame_size - 1, start + frame_size}
                ):
                    yield Disconnect(peer, direction, offset, f"{name}+{offset - start}/{frame_size}")
                start += frame_size


def _publish(rig: AmqpRig, publisher: Peer, key: str, shutdown: bool) -> None:
    rig.publish_request(publisher, "a", key, expiration=str(BUDGET))
    if shutdown:  # SIGTERM while the request is in progress
        for peer in rig.peers:
            peer.wire.transfer()
        rig.server.stop()


def run_scenario(key: str, disconnect: Disconnect, shutdown: bool, second_subscriber: bool) -> Outcome:
    """Run a scenario with a break; `second_subscriber` adds a subscriber whose connection stays up."""
    rig, publisher, worker, _, run_counts = _setup(key)
    if second_subscriber:
        other = rig.peer()
        run_jobs(other, run_counts)
        other.subscribe(key, tag="other")
    wire = (publisher if disconnect.peer == "publisher" else worker).wire
    if disconnect.direction == "in":
        wire.in_limit = disconnect.offset
    else:
        wire.out_limit = disconnect.offset
    if disconnect.offset == 0 and disconnect.direction == "in":
        wire.disconnect(ConnectionError())
    _publish(rig, publisher, key, shutdown)
    rig.advance(BUDGET + 200, 20.0)
    answers = [outcome for outcome, *_ in publisher.answers()]
    confirms = [kind for kind, _ in publisher.confirms()]
    return Outcome(
        run_counts["a"],
        answers,
        confirms,
        _violations(rig, key, publisher, run_counts["a"], answers, confirms),
    )


def _violations(
    rig: AmqpRig, key: str, publisher: Peer, runs: int, answers: list[str], confirms: list[str]
) -> list[str]:
    """Return the violated rules."""
    violations = []
    if key == "reminder" and runs > 1:
        violations.append(f"ran {runs} times")
    if publisher.wire.connected and len(answers) != 1:
        violations.append(f"{len(answers)} answers")
    if publisher.wire.connected and len(confirms) != 1:
        violations.append(f"{len(confirms)} confirms")
    if len(answers) > 1 or len(confirms) > 1:
        violations.append("answered more than once")
    if answers and confirms and (answers[0] == "served") != (confirms[0] == "ack"):
        violations.append(f"{answers[0]} and {confirms[0]}")
    if answers == ["served"] and not runs:
        violations.append("served without a run")
    if answers == ["refused"] and runs and key == "reminder":
        violations.append("refused after a run")
    if not rig.is_idle():
        violations.append("requests are still pending")
    answered = sum(rig.broker.counts[kind] for kind in ("served", "rejected", "failed"))
    if answered > 1:
        violations.append(f"the core answered {answered} times")
    return violations
