"""Parts of an upgrade without processes: lifecycle, messages of the link, learned weights, callbacks."""

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
from bitternpath.balancer.handover.link import MAX_SOCKET_PATH, Link, UpgradeSocket
from bitternpath.balancer.handover.messages import (
    Acknowledged,
    CallbackRelayed,
    Hello,
    LinkError,
    MessageDecoder,
    Ready,
    RequestAccepted,
    Welcome,
    encode_message,
)
from bitternpath.net.sockets import Sockets

P = Phase


# ---- lifecycle


@pytest.mark.parametrize(
    ("events", "phase"),
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
def test_lifecycle_transitions(events: str, phase: Phase) -> None:
    lifecycle = Lifecycle()
    for event in events.split():
        lifecycle.apply(LifecycleEvent[event.upper()])
    assert lifecycle.phase is phase


def test_every_phase_is_defined_and_reachable() -> None:
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


def test_messages_round_trip_in_chunks_of_any_size() -> None:
    endpoint = Endpoint("s", "h:1", "z", "k", 2, m.WorkerState.DRAINING, 1.5, 7.0, serves=frozenset({"a"}))
    harness = DispatcherHarness(workers=2)
    messages = [
        Hello(1, "h:1"),
        Welcome(Listing(3, True, (endpoint,)), ["x"], learned_weights_of(harness.dispatcher)), Ready(),
        RequestAccepted("é\n"),
        CallbackRelayed(1, CallReport("x", "s", CallState.DONE, None, bytes(range(256)))),
        Acknowledged(1),
    ]  # fmt: skip
    data = b"".join(encode_message(message) for message in messages)
    for seed in range(20):
        random, decoder, decoded, offset = Random(seed), MessageDecoder(), [], 0
        while offset < len(data):
            size = random.choice((1, 7, 100, 5000))
            decoded += decoder.feed(data[offset : offset + size])
            offset += size
        assert decoded == messages


@pytest.mark.parametrize(
    "data",
    [
        b"{}\n", b"\n", b"[]\n", b'{"type":"no"}\n', b'{"type":"hello"}\n', b"\xff\n", b"{" * 5000 + b"\n",
        b'{"type":"hello","version":"1","listen":""}\n', b'{"type":"taken","id":7}\n',
        b'{"type":"heard","number":NaN}\n',
    ],
)  # fmt: skip
def test_an_invalid_message_raises_link_error(data: bytes) -> None:
    with pytest.raises(LinkError):
        MessageDecoder().feed(data)


# ---- learned weights


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


def test_a_restored_module_prefers_the_same_workers() -> None:
    old = trained(1)
    new = DispatcherHarness(job_class("a"), job_class("b"), workers=4, seed=9, reports_start=True)
    new.now = old.now
    assert restore_learned_weights(new.dispatcher, learned_weights_of(old.dispatcher)) == []
    for name in "ab":
        restored, original = new.dispatcher.class_states[name], old.dispatcher.class_states[name]
        assert (restored.mean_run_time, restored.run_time_by_kind, restored.ended_jobs) == (
            original.mean_run_time,
            original.run_time_by_kind,
            original.ended_jobs,
        )
        expected = dict(zip((w.name for w in original.network.neurons), original.network.q, strict=True))
        actual = dict(zip((w.name for w in restored.network.neurons), restored.network.q, strict=True))
        assert max(expected, key=expected.__getitem__) == max(actual, key=actual.__getitem__)
        assert actual["w1"] < min(actual[w] for w in ("w0", "w2", "w3"))
        assert actual == pytest.approx(expected, abs=0.05)


def test_weights_that_do_not_match_are_left_out() -> None:
    weights = learned_weights_of(trained(1).dispatcher)
    weights.classes[0].effect = "unsafe"
    weights.workers[0].up = 5.0
    weights.workers[1].times = (float("nan"), 0.0, 0.0, 0.0, 0.0)
    fewer = DispatcherHarness(job_class("a"), job_class("b"), workers=3, seed=2)
    assert restore_learned_weights(fewer.dispatcher, weights) == ["w0", "w1", "w3", "a"]
    assert fewer.dispatcher.class_states["a"].ended_jobs == 0 < fewer.dispatcher.class_states["b"].ended_jobs
    assert len(sends(fewer.request("x", "b"))) == 1


def test_open_jobs_of_the_older_process_count_as_load_until_their_expected_end() -> None:
    old = trained(1)
    (send,) = sends(old.request("open", "a"))
    new = DispatcherHarness(job_class("a"), job_class("b"), workers=4, seed=9, reports_start=True)
    new.now = old.now
    restore_learned_weights(new.dispatcher, learned_weights_of(old.dispatcher))
    worker = new.dispatcher.workers[send.worker]
    assert worker.load(new.now) == 1 and worker.load(new.now + 60_000.0) == 0


@pytest.mark.parametrize("seed", range(10))
def test_extreme_weights_leave_a_working_module(seed: int) -> None:
    random, weights = Random(seed), learned_weights_of(trained(1).dispatcher)
    invalid_or_extreme = (-1.0, 0.0, 1e300, float("inf"), float("nan"), 0.5)
    for learned_class in weights.classes:
        learned_class.threshold = random.choice(invalid_or_extreme)
        learned_class.neurons = {
            w: (
                random.choice(invalid_or_extreme),
                random.choice(invalid_or_extreme),
                random.choice(invalid_or_extreme),
            )
            for w in learned_class.neurons
        }
    fresh = DispatcherHarness(job_class("a"), job_class("b"), workers=4, seed=2)
    restore_learned_weights(fresh.dispatcher, weights)
    for k in range(30):
        for send in sends(fresh.request(f"x{k}", "a")):
            fresh.end_attempt(f"x{k}", send.worker, m.AttemptOutcome.OK)
    assert all(0.0 <= q <= 1.0 for q in fresh.dispatcher.class_states["a"].network.q)


# ---- links between processes, on a simulated clock


class ProcessHarness:
    """A process with its ends of links, without sockets."""

    def __init__(self, reactor: Any, directory: Path, name: str) -> None:
        listing = Listing(1, True, (Endpoint("s", "h:1", "z", "k", 0, m.WorkerState.SERVING, 1.0, 0.0),))
        self.lifecycle, self.sockets, self.registry = Lifecycle(), Sockets(256), EndpointRegistry(listing)
        self.module = DispatcherHarness(workers=1).dispatcher
        self.broker = Broker(reactor, reactor.seconds, self.registry, {}, self.module.handle)
        self.handover = Handover(
            reactor, directory, name, self.broker, self.registry, self.module, self.sockets, self.lifecycle
        )

    def connect(self) -> Link:
        link = Link(self.handover._on_message, self.handover._on_link_lost)
        link.makeConnection(StringTransport())
        self.handover._add_link(link)
        return link


def test_two_processes_share_the_capacity_equally(tmp_path: Path) -> None:
    process = ProcessHarness(Reactor(), tmp_path, "n")
    total = process.sockets.total
    link = process.connect()
    assert process.sockets.total < total / 2 + 1 and process.module.capacity_share == 0.5
    link.connectionLost()
    assert (
        process.sockets.total == total
        and process.module.capacity_share == 1.0
        and process.broker.on_accepted is None
    )


@pytest.mark.parametrize("event", ["acknowledged", "lost", "timeout"])
def test_a_relayed_callback_is_answered_once_acknowledged_or_undeliverable(
    tmp_path: Path, event: str
) -> None:
    reactor = Reactor()
    process = ProcessHarness(reactor, tmp_path, "n")
    report, results = CallReport("x", "s", CallState.DONE, None, b"r"), list[bool]()
    assert not process.handover.relay(report, results.append)  # no other process
    link = process.connect()
    transport: Any = link.transport
    assert process.handover.relay(report, results.append) and not results
    (message,) = MessageDecoder().feed(transport.value())
    assert isinstance(message, CallbackRelayed) and message.report.result == b"r"
    if event == "acknowledged":
        link.dataReceived(encode_message(Acknowledged(message.number)))
    elif event == "lost":
        link.connectionLost()
    reactor.advance(ACKNOWLEDGE_TIMEOUT)
    link.dataReceived(encode_message(Acknowledged(message.number)))  # ignored after the timeout
    assert results == [event != "timeout"]


def test_a_callback_for_an_unknown_job_is_relayed_to_all_other_processes(tmp_path: Path) -> None:
    # Guards against relaying to the older process only, and taking its acknowledgement for a job of the newer
    # one.
    process, results = ProcessHarness(Reactor(), tmp_path, "n"), list[bool]()
    links = [process.connect(), process.connect()]
    assert process.handover.relay(CallReport("x", "s", CallState.DONE, None, b"r"), results.append)
    for link in links:
        transport: Any = link.transport
        (message,) = MessageDecoder().feed(transport.value())
        assert isinstance(message, CallbackRelayed) and not results
        link.dataReceived(encode_message(Acknowledged(message.number)))
    assert results == [True] and process.module.capacity_share == pytest.approx(1 / 3)


def test_a_relayed_callback_is_forwarded_but_never_returned_to_its_sender(tmp_path: Path) -> None:
    process = ProcessHarness(Reactor(), tmp_path, "n")
    relayed = CallbackRelayed(5, CallReport("x", "s", CallState.DONE, None, b"r"))
    first_link = process.connect()
    first_link.dataReceived(encode_message(relayed))
    transport: Any = first_link.transport
    assert MessageDecoder().feed(transport.value()) == [Acknowledged(5)]
    second_link = process.connect()
    transport.clear()
    first_link.dataReceived(encode_message(relayed))
    second_transport: Any = second_link.transport
    (forwarded,) = MessageDecoder().feed(second_transport.value())
    assert isinstance(forwarded, CallbackRelayed) and not transport.value()
    second_link.dataReceived(encode_message(Acknowledged(forwarded.number)))
    assert MessageDecoder().feed(transport.value()) == [Acknowledged(5)]


def test_ids_accepted_by_another_process_are_in_use(tmp_path: Path) -> None:
    process = ProcessHarness(Reactor(), tmp_path, "n")
    process.connect().dataReceived(encode_message(RequestAccepted("x")))
    assert (
        process.broker.has_seen("x")
        and process.broker.recent_request_ids() == ["x"]
        and not process.broker.unanswered
    )


def test_a_socket_path_over_the_limit_is_addressed_by_its_directory(tmp_path: Path) -> None:
    directory = tmp_path / ("x" * 120)
    directory.mkdir()
    upgrade_socket = UpgradeSocket(Reactor(), directory, "name.sock")
    address = upgrade_socket.address("name.sock")
    assert len(os.fsencode(address)) <= MAX_SOCKET_PATH
    (directory / "name.sock").write_text("here")
    assert Path(address).read_text() == "here"


def test_empty_weights_restore_nothing(tmp_path: Path) -> None:
    assert (
        restore_learned_weights(
            DispatcherHarness(workers=2).dispatcher, LearnedWeights((0.0, 0.0, 0.0), [], [])
        )
        == []
    )
