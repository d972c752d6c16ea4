"""Regression tests for faults found with forty dispatchers and sixty workers."""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random
from typing import Any

import pytest
from helpers import DispatcherHarness, entry, listing, sends
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry, Listing
from bitternpath.balancer.http.discovery_subscription import DiscoverySubscription

NODES, WORKERS = 40, 60


def fleet(workers: int = WORKERS, **more: object) -> list[DispatcherHarness]:
    return [
        DispatcherHarness(
            workers=workers, seed=k, dispatcher_index=k, dispatchers=NODES, reports_start=True, **more
        )
        for k in range(NODES)
    ]


def test_dispatchers_without_coordination_spread_their_jobs_evenly() -> None:
    """With random choices a third of the jobs shared a worker while a third of the workers had none."""
    got = Counter(
        send.worker for harness in fleet() for n in range(2) for send in sends(harness.request(f"r{n}"))
    )
    assert sum(got.values()) == 2 * NODES
    assert len(got) > 0.85 * WORKERS  # random choices reach 44 of 60
    assert max(got.values()) <= 4


def test_sequential_jobs_use_few_workers_and_connections() -> None:
    """Nearly every job went to another worker, which cost a handshake each, and nothing was learned."""
    for harness in fleet()[:5]:
        used = Counter[str]()
        for n in range(100):
            (send,) = sends(harness.request(f"r{n}"))
            harness.handle(m.JobProgress(f"r{n}", 0, send.worker), 1.0)
            harness.end_attempt(f"r{n}", send.worker, m.AttemptOutcome.OK, after=100.0)
            used[send.worker] += 1
        assert sum(n for _, n in used.most_common(3)) > 80


def test_jobs_beyond_the_limit_of_home_workers_go_elsewhere() -> None:
    (harness,) = fleet()[:1]
    at = Counter(send.worker for n in range(30) for send in sends(harness.request(f"r{n}")))
    assert len(at) > 15 and max(at.values()) <= 4


def test_many_workers_that_join_at_once_get_jobs_soon_and_none_is_overloaded() -> None:
    """The first job came after up to a minute: 36 new workers were idle while 24 had long queues."""
    run, share, multiple = 100.0, 0.25, 4.0
    cold = {
        "cold_share": share,
        "warm_within": 20_000.0,
        "overload_multiple": multiple,
        "overload_span": 1000.0,
    }
    harnesses, got, tries = fleet(**cold), Counter[str](), 0
    for harness in harnesses:
        for n in range(40):  # the running time is known before the new workers join
            (send,) = sends(harness.request(f"t{n}"))
            harness.handle(m.JobProgress(f"t{n}", 0, send.worker), 1.0)
            harness.end_attempt(f"t{n}", send.worker, m.AttemptOutcome.OK, after=run)
        new = [entry(f"new{k}", up_since=harness.now) for k in range(36)]
        harness.handle(listing(*[entry(f"w{k}") for k in range(24)], *new, kind=m.ListKind.COMPLETE))
        start = harness.now
        while harness.now < start + 1000.0:  # more jobs than the fleet can run, so every free slot is used
            for send in sends(harness.request(f"r{tries}")):
                got[send.worker] += send.worker.startswith("new")
                harness.handle(m.JobProgress(f"r{tries}", 0, send.worker))
            harness.run_sweeps(harness.dispatcher.sweep_interval)
            tries += 1
    carried = [got[f"new{k}"] * run / 1000.0 for k in range(36)]
    assert sum(n > 0 for n in carried) > 30
    assert max(carried) < multiple * 2 * share


def test_an_idle_cold_home_worker_gets_its_next_job_soon() -> None:
    """With gaps by time alone, cold home workers were idle half of the time although jobs were pending."""
    (harness,) = fleet(cold_share=0.05, warm_within=20_000.0)[:1]
    for n in range(40):
        (send,) = sends(harness.request(f"t{n}"))
        harness.handle(m.JobProgress(f"t{n}", 0, send.worker), 1.0)
        harness.end_attempt(f"t{n}", send.worker, m.AttemptOutcome.OK, after=100.0)
    home = harness.dispatcher.home_workers[0]
    harness.handle(
        listing(*[entry(f"w{k}") for k in range(WORKERS) if f"w{k}" != home], kind=m.ListKind.COMPLETE)
    )
    harness.handle(listing(entry(home, up_since=harness.now), kind=m.ListKind.CHANGES))
    harness.run_sweeps(500.0)
    for worker in harness.dispatcher.workers.values():  # no other worker has a free slot
        worker.full_until, worker.sends_while_full = (
            (0.0 if worker.name == home else harness.now + 60_000.0),
            0,
        )
    for turn in range(5):
        harness.request(f"r{turn}")
        out = [t for t in harness.dispatcher.in_flight.values() if t.worker.name == home]
        assert len(out) == 1, turn
        harness.handle(m.JobProgress(out[0].job.id, out[0].number, home))
        harness.end_attempt(
            out[0].job.id, home, m.AttemptOutcome.OK, after=300.0
        )  # three times as long as on a warm worker


def test_a_dispatcher_with_few_jobs_learns_of_long_waits_within_seconds() -> None:
    """With a fixed weight for each job it took twenty seconds, and by then all queues were long."""
    (harness,) = fleet()[:1]
    for n in range(12):
        for send in sends(harness.request(f"r{n}")):
            harness.handle(m.JobProgress(f"r{n}", 0, send.worker), 600.0)
            harness.end_attempt(f"r{n}", send.worker, m.AttemptOutcome.OK, after=100.0)
    assert harness.dispatcher.mean_wait > 300.0


def test_nodes_that_start_together_do_not_overload_discovery() -> None:
    """Called by all at once and again within a second, it only served calls that had already timed out."""
    call_time, call_timeout = 150.0, 2000.0  # ms
    harnesses = fleet(list_on_request=True)
    start, free, calls, granted = harnesses[0].now, 0.0, 0, set[int]()

    def subscribe_delays(actions: list[m.Action]) -> list[float]:
        return [a.delay for a in actions if isinstance(a, m.StartTimer) and a.label == "watch"]

    due = [
        (delay, k, "subscribe")
        for k, harness in enumerate(harnesses)
        for delay in subscribe_delays(harness.initial_actions)
    ]
    heapq.heapify(due)
    while due and due[0][0] < 20_000.0:
        at, k, what = heapq.heappop(due)
        harnesses[k].now = start + at
        if what == "failed":
            for delay in subscribe_delays(harnesses[k].handle(m.WorkerList(m.ListKind.FAILED))):
                heapq.heappush(due, (at + delay, k, "subscribe"))
        elif (
            any(isinstance(a, m.SubscribeToWorkers) for a in harnesses[k].handle(m.TimerFired("watch")))
            and k not in granted
        ):
            calls += 1
            free = max(free, at) + call_time  # one at a time, also for a caller that no longer waits
            if free - at > call_timeout:
                heapq.heappush(due, (at + call_timeout, k, "failed"))
            else:
                granted.add(k)
    assert len(granted) == NODES and calls < 2 * NODES


def test_a_refused_subscription_is_retried_when_the_module_says_so() -> None:
    """It was retried within a second, although the module had backed off from an overloaded service."""
    reactor: Any = MemoryReactorClock()
    registry = EndpointRegistry(Listing(7, True, ()))
    handled = list[m.Event]()

    def handle(now: float, event: m.Event) -> list[m.Action]:
        handled.append(event)
        return (
            [m.SubscribeToWorkers()] if isinstance(event, m.TimerFired) else [m.StartTimer("watch", 5000.0)]
        )

    broker = Broker(reactor, reactor.seconds, registry, {}, handle)
    subscription = DiscoverySubscription(
        reactor, registry, ("10.0.0.1", 1), Random(1), broker.subscription_failed
    )
    broker.subscribe = subscription.start
    subscription.start()
    for turn in range(1, 4):
        assert len(reactor.tcpClients) == turn
        wire = StringTransport()
        protocol = reactor.tcpClients[-1][2].buildProtocol(None)
        protocol.makeConnection(wire)
        assert b"index=7" in wire.value()  # from the current revision
        protocol.dataReceived(b"HTTP/1.1 503 Overbooked\r\nContent-Length: 0\r\n\r\n")
        protocol.connectionLost(Failure(ConnectionDone()))
        reactor.advance(0.0)
        assert handled[-1] == m.WorkerList(m.ListKind.FAILED, [])
        reactor.advance(4.9)
        assert len(reactor.tcpClients) == turn
        reactor.advance(0.2)
        reactor.advance(0.0)


@pytest.mark.parametrize("reported", [True, False])
def test_a_refused_connection_to_a_worker_that_reports_means_that_it_is_full(reported: bool) -> None:
    """A worker at its connection limit was suspended like a dead one, longer each time."""
    harness = fleet(progress_every=1000.0)[0]
    home = harness.dispatcher.home_workers[0]
    worker = harness.dispatcher.workers[home]
    for other in harness.dispatcher.workers.values():
        other.full_until = 0.0 if other is worker else harness.now + 60_000.0
    (first,) = sends(harness.request("running"))
    assert first.worker == home
    if reported:
        harness.handle(m.JobProgress("running", 0, home))
    worker.not_started = 0
    (second,) = sends(harness.request("refused"))
    assert second.worker == home
    harness.end_attempt("refused", home, m.AttemptOutcome.NO_CONNECTION, after=1.0)
    assert (worker.suspensions == 0) == reported
    assert (worker.suspended_until > harness.now) != reported and (
        worker.full_until > harness.now
    ) == reported


def test_a_job_checks_few_workers_where_all_of_a_large_fleet_are_suspended() -> None:
    """One event took 3.2 s: 6,000 pending jobs checked all of 200 unresponsive workers twice each."""
    harness = DispatcherHarness(workers=200, dispatchers=200)
    for worker in harness.dispatcher.workers.values():
        worker.suspended_until = worker.unsafe_suspended_until = 1e9
    checks = Counter[str]()
    next_cold_send_at = harness.dispatcher.next_cold_send_at

    def counting_next_cold_send_at(worker: Any) -> float:
        checks["all"] += 1
        return next_cold_send_at(worker)

    harness.dispatcher.next_cold_send_at = counting_next_cold_send_at  # type: ignore[method-assign]
    assert all(sends(harness.request(f"r{n}")) for n in range(50))
    sample_checks = checks["all"] - 50 * 200  # the search for one that is not suspended checks each once
    assert 50 <= sample_checks <= 50 * 2 * 28
