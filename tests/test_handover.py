"""The parts of an upgrade without processes: the life cycle, what goes over the link, what was learned."""

from __future__ import annotations

import os
from pathlib import Path
from random import Random
from typing import Any

import pytest
from helpers import DispatcherHarness, job_class, sends
from twisted.internet.task import Clock as Reactor
from twisted.internet.testing import StringTransport

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import Endpoint, EndpointRegistry, Listing
from bitternpath.balancer.core.lifecycle import BEHAVIOR, TRANSITIONS, Lifecycle, LifecycleEvent, Phase
from bitternpath.balancer.core.requests import CallReport, CallState
from bitternpath.balancer.handover.handover import ACKNOWLEDGE_TIMEOUT, Handover
from bitternpath.balancer.handover.learned_weights import (
    LearnedWeights,
    learned_weights_of,
    restore_learned_weights,
)
from bitternpath.balancer.handover.link import PATH_LIMIT, Link, UpgradeSocket
from bitternpath.balancer.handover.messages import (
    Acknowledged,
    Hello,
    Lines,
    LinkError,
    Passed,
    Ready,
    Taken,
    Welcome,
    line,
)
from bitternpath.net.sockets import Sockets

P = Phase


# ---- the life cycle


@pytest.mark.parametrize(
    ("words", "phase"),
    [
        ("listens", P.READY),
        ("listens stop", P.DRAINING),
        ("listens stop ended", P.GONE),
        ("listens successor_ready", P.SUPERSEDED),
        ("listens successor_ready successor_lost", P.READY),
        ("listens successor_ready stop", P.HANDING_OVER),
        ("listens successor_ready stop successor_lost", P.DRAINING),
        ("listens successor_ready stop successor_lost successor_ready", P.HANDING_OVER),
        ("listens stop successor_ready", P.HANDING_OVER),
        ("listens successor_ready stop ended", P.GONE),
        ("stop", P.GONE),
        ("stop listens", P.GONE),
        ("successor_ready successor_lost ended listens listens", P.READY),
        ("listens stop stop stop", P.DRAINING),
    ],
)
def test_what_leads_from_one_state_to_another(words: str, phase: Phase) -> None:
    lifecycle = Lifecycle()
    for word in words.split():
        lifecycle.apply(LifecycleEvent[word.upper()])
    assert lifecycle.phase is phase


def test_no_state_is_left_out_and_from_each_the_end_can_be_reached() -> None:
    assert set(BEHAVIOR) == set(Phase)
    reached = {P.STARTING}
    for _ in Phase:
        reached |= {after for (before, _), after in TRANSITIONS.items() if before in reached}
    assert reached == set(Phase)
    assert not any(before is P.GONE for before, _ in TRANSITIONS)
    assert all(
        behavior.accepts or behavior.ready_for_clients or phase in (P.STARTING, P.GONE)
        for phase, behavior in BEHAVIOR.items()
    )


# ---- messages


def test_messages_come_out_as_they_went_in_whatever_the_pieces() -> None:
    endpoint = Endpoint("s", "h:1", "z", "k", 2, m.WorkerState.DRAINING, 1.5, 7.0, serves=frozenset({"a"}))
    harness = DispatcherHarness(workers=2)
    said = [
        Hello(1, "h:1"),
        Welcome(Listing(3, True, (endpoint,)), ["x"], learned_weights_of(harness.dispatcher)), Ready(),
        Taken("é\n"), Passed(1, CallReport("x", "s", CallState.DONE, None, bytes(range(256)))),
        Acknowledged(1),
    ]  # fmt: skip
    data = b"".join(line(one) for one in said)
    for seed in range(20):
        random, lines, got, at = Random(seed), Lines(), [], 0
        while at < len(data):
            size = random.choice((1, 7, 100, 5000))
            got += lines.feed(data[at : at + size])
            at += size
        assert got == said


@pytest.mark.parametrize(
    "data",
    [
        b"{}\n", b"\n", b"[]\n", b'{"type":"no"}\n', b'{"type":"hello"}\n', b"\xff\n", b"{" * 5000 + b"\n",
        b'{"type":"hello","version":"1","listen":""}\n', b'{"type":"taken","id":7}\n',
        b'{"type":"heard","number":NaN}\n',
    ],
)  # fmt: skip
def test_what_is_no_message_ends_the_link_and_nothing_else(data: bytes) -> None:
    with pytest.raises(LinkError):
        Lines().feed(data)


# ---- what was learned


def trained(seed: int, workers: int = 4) -> DispatcherHarness:
    harness = DispatcherHarness(
        job_class("a"), job_class("b"), workers=workers, seed=seed, reports_start=True
    )
    for k in range(60):
        for name in "ab":
            for send in sends(harness.request(f"{name}{k}", name)):
                slow = 5.0 if send.worker == "w1" else 1.0
                harness.handle(m.JobProgress(f"{name}{k}", 0, send.worker), after=2.0)
                harness.end_attempt(f"{name}{k}", send.worker, m.AttemptOutcome.OK, after=30.0 * slow)
    return harness


def test_a_newer_module_picks_as_the_older_one_did() -> None:
    old = trained(1)
    new = DispatcherHarness(job_class("a"), job_class("b"), workers=4, seed=9, reports_start=True)
    new.now = old.now
    assert restore_learned_weights(new.dispatcher, learned_weights_of(old.dispatcher)) == []
    for name in "ab":
        mine, theirs = new.dispatcher.class_states[name], old.dispatcher.class_states[name]
        assert (mine.mean_run_time, mine.run_time_by_kind, mine.ended_jobs) == (
            theirs.mean_run_time,
            theirs.run_time_by_kind,
            theirs.ended_jobs,
        )
        want = dict(zip((w.name for w in theirs.network.neurons), theirs.network.q, strict=True))
        got = dict(zip((w.name for w in mine.network.neurons), mine.network.q, strict=True))
        assert max(want, key=want.__getitem__) == max(got, key=got.__getitem__)
        assert got["w1"] < min(got[w] for w in ("w0", "w2", "w3"))
        assert got == pytest.approx(want, abs=0.05)


def test_what_does_not_fit_is_left_out_and_the_rest_is_taken() -> None:
    told = learned_weights_of(trained(1).dispatcher)
    told.classes[0].effect = "unsafe"
    told.workers[0].up = 5.0
    told.workers[1].times = (float("nan"), 0.0, 0.0, 0.0, 0.0)
    fewer = DispatcherHarness(job_class("a"), job_class("b"), workers=3, seed=2)
    assert restore_learned_weights(fewer.dispatcher, told) == ["w0", "w1", "w3", "a"]
    assert fewer.dispatcher.class_states["a"].ended_jobs == 0 < fewer.dispatcher.class_states["b"].ended_jobs
    assert len(sends(fewer.request("x", "b"))) == 1


def test_jobs_of_the_older_process_weigh_on_their_workers_until_they_should_have_ended() -> None:
    old = trained(1)
    (send,) = sends(old.request("open", "a"))
    new = DispatcherHarness(job_class("a"), job_class("b"), workers=4, seed=9, reports_start=True)
    new.now = old.now
    restore_learned_weights(new.dispatcher, learned_weights_of(old.dispatcher))
    worker = new.dispatcher.workers[send.worker]
    assert worker.load(new.now) == 1 and worker.load(new.now + 60_000.0) == 0


@pytest.mark.parametrize("seed", range(10))
def test_any_figures_at_all_leave_a_module_that_works(seed: int) -> None:
    random, told = Random(seed), learned_weights_of(trained(1).dispatcher)
    odd = (-1.0, 0.0, 1e300, float("inf"), float("nan"), 0.5)
    for known in told.classes:
        known.threshold = random.choice(odd)
        known.neurons = {
            w: (random.choice(odd), random.choice(odd), random.choice(odd)) for w in known.neurons
        }
    fresh = DispatcherHarness(job_class("a"), job_class("b"), workers=4, seed=2)
    restore_learned_weights(fresh.dispatcher, told)
    for k in range(30):
        for send in sends(fresh.request(f"x{k}", "a")):
            fresh.end_attempt(f"x{k}", send.worker, m.AttemptOutcome.OK)
    assert all(0.0 <= q <= 1.0 for q in fresh.dispatcher.class_states["a"].network.q)


# ---- the link, between two sides on a clock


class Side:
    """A process with its end of the link, on a clock and without sockets."""

    def __init__(self, reactor: Any, folder: Path, name: str) -> None:
        listing = Listing(1, True, (Endpoint("s", "h:1", "z", "k", 0, m.WorkerState.SERVING, 1.0, 0.0),))
        self.lifecycle, self.sockets, self.registry = Lifecycle(), Sockets(256), EndpointRegistry(listing)
        self.module = DispatcherHarness(workers=1).dispatcher
        self.broker = Broker(reactor, reactor.seconds, self.registry, {}, self.module.handle)
        self.handover = Handover(
            reactor, folder, name, self.broker, self.registry, self.module, self.sockets, self.lifecycle
        )

    def end(self) -> Link:
        link = Link(self.handover._received, self.handover._lost)
        link.makeConnection(StringTransport())
        self.handover._add(link)
        return link


def test_both_have_half_while_both_live_and_the_one_left_has_the_whole(tmp_path: Path) -> None:
    side = Side(Reactor(), tmp_path, "n")
    whole = side.sockets.total
    link = side.end()
    assert side.sockets.total < whole / 2 + 1 and side.module.capacity_share == 0.5
    link.connectionLost()
    assert (
        side.sockets.total == whole and side.module.capacity_share == 1.0 and side.broker.on_accepted is None
    )


@pytest.mark.parametrize("how", ["heard", "lost", "silence"])
def test_a_call_back_that_was_passed_on_is_answered_when_it_was_taken_or_nobody_can(
    tmp_path: Path, how: str
) -> None:
    reactor = Reactor()
    side = Side(reactor, tmp_path, "n")
    report, told = CallReport("x", "s", CallState.DONE, None, b"r"), list[bool]()
    assert not side.handover.relay(report, told.append)  # nobody is there
    link = side.end()
    transport: Any = link.transport
    assert side.handover.relay(report, told.append) and not told
    (said,) = Lines().feed(transport.value())
    assert isinstance(said, Passed) and said.report.result == b"r"
    if how == "heard":
        link.dataReceived(line(Acknowledged(said.number)))
    elif how == "lost":
        link.connectionLost()
    reactor.advance(ACKNOWLEDGE_TIMEOUT)
    link.dataReceived(line(Acknowledged(said.number)))  # too late, and so nothing
    assert told == [how != "silence"]


def test_a_process_between_two_others_asks_both_of_a_job_that_it_does_not_know(tmp_path: Path) -> None:
    # Guards: only the older one was asked, and its word that it has the news counted for the newer one's job.
    side, told = Side(Reactor(), tmp_path, "n"), list[bool]()
    links = [side.end(), side.end()]
    assert side.handover.relay(CallReport("x", "s", CallState.DONE, None, b"r"), told.append)
    for link in links:
        transport: Any = link.transport
        (said,) = Lines().feed(transport.value())
        assert isinstance(said, Passed) and not told
        link.dataReceived(line(Acknowledged(said.number)))
    assert told == [True] and side.module.capacity_share == pytest.approx(1 / 3)


def test_news_goes_on_to_a_third_process_but_never_back(tmp_path: Path) -> None:
    side = Side(Reactor(), tmp_path, "n")
    passed = Passed(5, CallReport("x", "s", CallState.DONE, None, b"r"))
    only = side.end()
    only.dataReceived(line(passed))
    transport: Any = only.transport
    assert Lines().feed(transport.value()) == [Acknowledged(5)]
    further = side.end()
    transport.clear()
    only.dataReceived(line(passed))
    there: Any = further.transport
    (on,) = Lines().feed(there.value())
    assert isinstance(on, Passed) and not transport.value()
    further.dataReceived(line(Acknowledged(on.number)))
    assert Lines().feed(transport.value()) == [Acknowledged(5)]


def test_ids_taken_elsewhere_are_known_here(tmp_path: Path) -> None:
    side = Side(Reactor(), tmp_path, "n")
    side.end().dataReceived(line(Taken("x")))
    assert (
        side.broker.has_seen("x") and side.broker.recent_request_ids() == ["x"] and not side.broker.unanswered
    )


def test_a_path_too_long_for_the_system_is_reached_by_its_folder(tmp_path: Path) -> None:
    folder = tmp_path / ("x" * 120)
    folder.mkdir()
    upgrade_socket = UpgradeSocket(Reactor(), folder, "name.sock")
    address = upgrade_socket.address("name.sock")
    assert len(os.fsencode(address)) <= PATH_LIMIT
    (folder / "name.sock").write_text("here")
    assert Path(address).read_text() == "here"


def test_learned_of_nothing_is_nothing(tmp_path: Path) -> None:
    assert (
        restore_learned_weights(
            DispatcherHarness(workers=2).dispatcher, LearnedWeights((0.0, 0.0, 0.0), [], [])
        )
        == []
    )
