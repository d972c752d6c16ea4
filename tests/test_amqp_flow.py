"""AMQP through the core, without sockets: publishers, subscribers, and the outcomes of calls."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from amqp_rig import AmqpRig, Peer, ReceivedMessage, c, run_jobs
from pamqp import frame

from bitternpath.balancer import messages as m


def rig_with(
    action: str = "ack", subscribers: int = 1, **settings: Any
) -> tuple[AmqpRig, Peer, list[Peer], Counter[str]]:
    rig, run_counts = AmqpRig(**settings), Counter[str]()
    workers = []
    for _ in range(subscribers):
        peer = rig.peer()
        run_jobs(peer, run_counts, action)
        peer.subscribe("reminder")
        peer.subscribe("lookup", tag="l")
        workers.append(peer)
    return rig, rig.publisher(), workers, run_counts


# ---- outcomes of an attempt


@pytest.mark.parametrize(
    ("action", "key", "outcome", "confirm"),
    [
        ("ack", "reminder", ("served", "c-a", b"ran"), "ack"),
        ("ack", "lookup", ("served", "c-a", b"ran"), "ack"),
        ("nack", "reminder", ("failed", "c-a", b""), "nack"),
        ("requeue", "reminder", ("failed", "c-a", b""), "nack"),
    ],
)
def test_reply_and_confirm_agree_and_are_sent_once(
    action: str, key: str, outcome: tuple[Any, ...], confirm: str
) -> None:
    rig, publisher, _, run_counts = rig_with(action)
    rig.publish_request(publisher, "a", key)
    rig.run_until_idle()
    assert publisher.answers() == [outcome] and publisher.confirms() == [(confirm, 1)]
    assert run_counts == {"a": 1} and rig.is_idle()
    reply = publisher.all(c.Basic.Deliver)[0]
    assert reply.properties.message_id == "a" and reply.method.consumer_tag == "replies"


def test_an_ack_without_a_result_is_served_with_an_empty_body() -> None:
    rig, publisher, (worker,), _ = rig_with("hold")
    rig.publish_request(publisher, "a")
    rig.run_until_idle()
    worker.send(c.Basic.Ack(worker.deliveries()[0].method.delivery_tag))
    rig.run_until_idle()
    assert publisher.answers() == [("served", "c-a", b"")]


@pytest.mark.parametrize("key", ["reminder", "lookup"])
def test_a_requeue_counts_as_unstarted_only_for_configured_classes(key: str) -> None:
    rig, publisher, _, run_counts = rig_with("requeue", 2, requeue_unstarted=["reminder"])
    rig.publish_request(publisher, "a", key)
    rig.advance(9000)
    # The reminder is retried and finally refused, as it counts as not started. The lookup is safe to retry.
    assert sum(run_counts.values()) >= 2
    assert publisher.answers()[0][0] == "refused" and rig.is_idle()
    headers = publisher.all(c.Basic.Deliver)[0].properties.headers
    assert 0 < headers["x-retry-after-ms"] <= 2000
    redelivered = [d.method.redelivered for w in rig.peers for d in w.deliveries()]
    assert redelivered.count(False) == (len(redelivered) if key == "reminder" else 1)


def test_a_refusal_is_sent_at_once_with_the_retry_after_of_the_module() -> None:
    rig = AmqpRig()
    publisher = rig.publisher()
    rig.publish_request(publisher, "a", expiration="20")  # no endpoint, and little time
    rig.advance(20)
    (
        outcome,
        *_,
    ) = publisher.answers()[0]
    assert outcome == "refused" and publisher.confirms() == [("nack", 1)]
    assert publisher.all(c.Basic.Deliver)[0].properties.headers["x-retry-after-ms"] > 0


def test_a_request_is_answered_by_its_deadline_if_the_subscriber_never_acks() -> None:
    rig, publisher, (worker,), run_counts = rig_with("silent")
    rig.publish_request(publisher, "a", expiration="1000")
    rig.advance(980)
    assert publisher.answers() == [] and run_counts["a"] == 1
    rig.advance(20)
    assert publisher.answers() == [("failed", "c-a", b"")] and publisher.confirms() == [("nack", 1)]
    # A late ack is legal and frees the slot; it does not change the answer.
    (subscriber,) = [s for s in rig.subscribers.by_endpoint.values() if s.job_class == "reminder"]
    assert subscriber.unacked_count == 1
    worker.send(c.Basic.Ack(worker.deliveries()[0].method.delivery_tag))
    rig.run_until_idle()
    assert subscriber.unacked_count == 0 and rig.subscribers.counts["late_acks"] == 1
    assert len(publisher.answers()) == 1 and worker.wire.connected and not worker.methods(c.Channel.Close)


def test_safe_requests_are_served_by_the_other_subscriber_if_one_never_acks() -> None:
    rig, publisher, (silent, good), run_counts = rig_with("ack", 2)
    run_jobs(silent, run_counts, "silent")
    for k in range(30):
        rig.publish_request(publisher, f"a{k}", "lookup")
        rig.advance(50)
    outcomes = Counter(outcome for outcome, *_ in publisher.answers())
    assert outcomes["served"] >= 26  # the silent one occupies at most its four slots
    assert len(silent.deliveries()) <= 4 and len(good.deliveries()) >= 26


# ---- lost connections


def test_a_reminder_delivered_but_not_acknowledged_does_not_run_again() -> None:
    rig, publisher, (first, second), run_counts = rig_with("hold", 2)
    rig.publish_request(publisher, "a")
    rig.run_until_idle()
    assigned = next(w for w in (first, second) if w.deliveries())
    assigned.wire.disconnect(ConnectionError())
    rig.advance(9000)
    assert run_counts == {"a": 1} and publisher.answers() == [("failed", "c-a", b"")]
    assert publisher.confirms() == [("nack", 1)] and rig.is_idle()


def test_a_lookup_is_redelivered_to_another_subscriber() -> None:
    rig, publisher, workers, run_counts = rig_with("hold", 2)
    rig.publish_request(publisher, "a", "lookup")
    rig.run_until_idle()
    assigned, other = sorted(workers, key=lambda w: -len(w.deliveries()))
    run_jobs(other, run_counts)
    assigned.wire.disconnect(ConnectionError())
    rig.advance(500)
    assert run_counts == {"a": 2} and publisher.answers() == [("served", "c-a", b"ran")]
    assert not assigned.deliveries()[0].method.redelivered and other.deliveries()[0].method.redelivered


@pytest.mark.parametrize("loss", ["connection", "channel", "heartbeats"])
def test_a_result_published_before_the_connection_is_lost_is_served(loss: str) -> None:
    rig, publisher, (worker,), run_counts = rig_with("result", heartbeat=2)
    rig.publish_request(publisher, "a")
    rig.run_until_idle()
    assert publisher.answers() == []
    if loss == "connection":
        worker.wire.disconnect(ConnectionError())
    elif loss == "channel":
        worker.send(c.Channel.Close(200, "bye", 0, 0))
    rig.advance(5000 if loss == "heartbeats" else 0)
    rig.run_until_idle()
    if loss != "heartbeats":
        assert publisher.answers() == [("served", "c-a", b"ran")] and publisher.confirms() == [("ack", 1)]
    assert rig.is_idle() and run_counts == {"a": 1}


def test_missed_heartbeats_while_a_job_runs_close_the_connection() -> None:
    rig = AmqpRig(heartbeat=2)
    run_counts = Counter[str]()
    worker = rig.peer()
    run_jobs(worker, run_counts, "hold")
    worker.subscribe("reminder")
    caller = rig.submit("a")
    rig.advance(3500)
    assert worker.heartbeats >= 3 and caller.answers == [] and worker.wire.connected
    rig.advance(1000)  # two heartbeat intervals without a byte from the peer
    assert not worker.wire.connected and caller.answers == [("failed",)] and run_counts == {"a": 1}


def test_an_unsent_delivery_is_sent_to_another_subscriber() -> None:
    # Guards against failing a delivery that still waited behind a stalled socket when the connection broke.
    rig, publisher, workers, run_counts = rig_with("hold", 2)
    for worker in workers:
        worker.wire.stalled = True  # the TCP window is full
    rig.publish_request(publisher, "a")
    rig.run_until_idle()
    with_pending_data = [w for w in workers if w.wire.pending]
    assert len(with_pending_data) == 1 and run_counts == {}
    # The first chunk was submitted to the transport; entries behind it were not.
    rig.publish_request(publisher, "b")
    rig.publish_request(publisher, "d")
    rig.run_until_idle()
    for worker in workers:
        run_jobs(worker, run_counts)
    waiting = {
        u.call.id
        for w in workers
        for u in w.wire.protocol.session.channels[1].unacked.values()
        if not u.entry.submitted  # type: ignore[attr-defined]
    }
    assert waiting  # of three requests, at most two are the first on their wires
    stalled, other = workers
    other.wire.stalled = False
    stalled.wire.disconnect(ConnectionError())
    rig.advance(9000)
    outcomes = {id[2:]: outcome for outcome, id, _ in publisher.answers()}
    assert len(outcomes) == 3 and all(run_counts[id] <= 1 for id in "abd")
    assert all(outcomes[id] == "served" for id in waiting)


def test_a_lowered_prefetch_applies_to_unacked_deliveries_at_once() -> None:
    rig, publisher, (worker,), _ = rig_with("hold")
    for k in range(3):
        rig.publish_request(publisher, f"a{k}")
    rig.run_until_idle()
    assert len(worker.deliveries()) == 3
    worker.send(c.Basic.Qos(0, 2, True))
    rig.run_until_idle()
    rig.publish_request(publisher, "b")
    rig.advance(100)
    assert len(worker.deliveries()) == 3
    for message in worker.deliveries()[:2]:
        worker.send(c.Basic.Ack(message.method.delivery_tag))
    rig.advance(200)
    assert [message.properties.message_id for message in worker.deliveries()] == ["a0", "a1", "a2", "b"]


def test_channel_flow_pauses_deliveries_until_it_is_active_again() -> None:
    rig, publisher, (worker,), _ = rig_with("ack")
    worker.send(c.Channel.Flow(False))
    rig.run_until_idle()
    assert [ok.active for ok in worker.methods(c.Channel.FlowOk)] == [False]
    rig.publish_request(publisher, "a")
    rig.advance(100)
    assert worker.deliveries() == []
    worker.send(c.Channel.Flow(True))
    rig.advance(1000)
    assert publisher.answers() == [("served", "c-a", b"ran")]


# ---- draining


def test_cancel_drains_and_unacked_deliveries_may_still_be_acknowledged() -> None:
    rig, publisher, (worker,), _ = rig_with("hold")
    rig.publish_request(publisher, "a")
    rig.run_until_idle()
    worker.send(c.Basic.Cancel("t"))
    rig.run_until_idle()
    rig.publish_request(publisher, "b", expiration="300")
    rig.advance(300)
    assert len(worker.deliveries()) == 1 and worker.methods(c.Basic.CancelOk)
    assert publisher.answers() == [("refused", "c-b", b"")]
    worker.send(c.Basic.Ack(worker.deliveries()[0].method.delivery_tag))
    rig.run_until_idle()
    assert publisher.answers()[1] == ("served", "c-a", b"")
    assert [s.job_class for s in rig.subscribers.by_endpoint.values()] == ["lookup"]


@pytest.mark.parametrize("supports_cancel", [True, False])
def test_shutdown_cancels_subscribers_and_answers_all_requests(supports_cancel: bool) -> None:
    rig = AmqpRig()
    run_counts = Counter[str]()
    worker = rig.peer(capabilities=None if supports_cancel else {})
    run_jobs(worker, run_counts, "hold")
    worker.subscribe("reminder")
    publisher = rig.publisher()
    rig.publish_request(publisher, "a")
    rig.run_until_idle()
    rig.server.stop()
    rig.run_until_idle()
    assert [x.consumer_tag for x in worker.methods(c.Basic.Cancel)] == (["t"] if supports_cancel else [])
    rig.publish_request(publisher, "late")  # not accepted, so refused at once
    rig.run_until_idle()
    assert publisher.answers() == [("refused", "c-late", b"")]
    worker.send(c.Basic.Ack(worker.deliveries()[0].method.delivery_tag))
    rig.run_until_idle()
    assert publisher.answers()[1] == ("served", "c-a", b"") and rig.is_idle()
    rig.server.close()
    rig.run_until_idle()
    for peer in (worker, publisher):
        assert [x.reply_code for x in peer.methods(c.Connection.Close)] == [320] and not peer.wire.connected


def test_a_channel_closed_during_shutdown_fails_only_its_own_request() -> None:
    rig, publisher, (worker,), run_counts = rig_with("hold")
    rig.publish_request(publisher, "a")
    rig.publish_request(publisher, "b", "lookup")
    rig.run_until_idle()
    rig.server.stop()
    rig.run_until_idle()
    worker.send(c.Channel.Close(200, "bye", 0, 0))
    rig.advance(9000)
    assert run_counts == {"a": 1, "b": 1} and rig.is_idle()
    assert {id: outcome for outcome, id, _ in publisher.answers()}["c-a"] == "failed"
    assert len(publisher.answers()) == 2 and sorted(publisher.confirms()) == [("nack", 1), ("nack", 2)]


def test_accepted_requests_are_still_delivered_during_shutdown() -> None:
    rig, publisher, (worker,), run_counts = rig_with("hold")
    for k in range(5):  # one more than there are slots
        rig.publish_request(publisher, f"a{k}")
    rig.run_until_idle()
    rig.server.stop()
    rig.run_until_idle()
    assert not worker.methods(c.Basic.Cancel)
    run_jobs(worker, run_counts)
    for message in worker.deliveries()[:4]:
        worker.send(c.Basic.Ack(message.method.delivery_tag))
    rig.advance(500)
    assert Counter(outcome for outcome, *_ in publisher.answers()) == {"served": 5}
    assert len(worker.methods(c.Basic.Cancel)) == 2


@pytest.mark.parametrize("action", ["close", "soft error", "disconnect", "hard error"])
def test_a_subscriber_is_no_endpoint_after_its_channel_closed(action: str) -> None:
    # Guards against sending calls to a consumer whose channel is closed.
    rig, _, (worker,), _ = rig_with("hold")
    assert len([p for p in rig.registry.endpoints.values() if p.source == "amqp"]) == 2
    if action == "close":
        worker.send(c.Channel.Close(200, "", 0, 0))
    elif action == "soft error":
        worker.send(c.Basic.Get(queue="nowhere"))
    elif action == "hard error":
        worker.send(c.Tx.Select())
    else:
        worker.wire.disconnect(ConnectionError())
    rig.run_until_idle()
    assert not rig.registry.endpoints and not rig.module.workers and not rig.subscribers.by_endpoint


# ---- publishers


def test_input_of_one_peer_is_processed_in_bounded_turns() -> None:
    # Guards against a peer that sends thousands of messages at once and so delays all other sockets.
    from bitternpath.balancer.amqp.server import EVENTS_PER_TURN

    rig = AmqpRig()
    busy = rig.publisher()
    data = b"".join(frame.marshal(c.Basic.Qos(0, k, False), 1) for k in range(10 * EVENTS_PER_TURN))
    busy.wire.protocol.dataReceived(data)
    channel = busy.wire.protocol.session.channels[1]
    assert channel.prefetch == EVENTS_PER_TURN - 1
    rig.run_until_idle()
    assert (
        channel.prefetch == 10 * EVENTS_PER_TURN - 1
        and len(busy.methods(c.Basic.QosOk)) == 10 * EVENTS_PER_TURN
    )


def test_requests_of_a_disconnected_publisher_still_run() -> None:
    rig, publisher, (worker,), run_counts = rig_with("hold")
    rig.publish_request(publisher, "a")
    rig.run_until_idle()
    publisher.wire.disconnect(ConnectionError())
    rig.run_until_idle()
    run_jobs(worker, run_counts)
    worker.send(c.Basic.Ack(worker.deliveries()[0].method.delivery_tag))
    rig.run_until_idle()
    assert (
        rig.broker.counts["served"] == 1 and rig.publishers.counts["answers_dropped"] == 1 and rig.is_idle()
    )


def test_a_message_id_in_use_is_refused_to_a_second_publisher() -> None:
    rig, first, (worker,), run_counts = rig_with("hold")
    second = rig.publisher()
    rig.publish_request(first, "a")
    rig.run_until_idle()
    rig.publish_request(second, "a")
    rig.run_until_idle()
    assert second.answers() == [("refused", "c-a", b"")] and second.confirms() == [("nack", 1)]
    headers = second.all(c.Basic.Deliver)[0].properties.headers
    assert headers["x-reason"] == "message-id in use" and headers["x-retry-after-ms"] == 10_000
    assert run_counts == {"a": 1} and first.answers() == []
    worker.send(c.Basic.Ack(worker.deliveries()[0].method.delivery_tag))
    rig.run_until_idle()
    assert first.answers() == [("served", "c-a", b"")] and len(second.answers()) == 1


@pytest.mark.parametrize(
    "invalid",
    [
        {"message_id": "é"},
        {"message_id": "x" * 201},
        {"expiration": "soon"},
        {"expiration": "-1"},
        {"headers": {"x-call-info": "a\nb"}},
        {"headers": {"x-target": "/lookup"}},
        {"content_type": "é"},
    ],
)
def test_an_invalid_message_fails_with_a_reason(invalid: dict[str, Any]) -> None:
    rig, publisher, (worker,), _ = rig_with()
    rig.publish_request(publisher, "a", **invalid)
    rig.publish_request(publisher, "b")
    rig.run_until_idle()
    assert [outcome for outcome, *_ in publisher.answers()] == ["failed", "served"]
    assert "allowed" in publisher.all(c.Basic.Deliver)[0].properties.headers["x-reason"]
    assert len(worker.deliveries()) == 1


def test_an_unroutable_mandatory_message_is_returned_and_confirmed() -> None:
    rig = AmqpRig()
    publisher = rig.publisher()
    publisher.publish("nowhere", b"x", mandatory=True)
    publisher.publish("nowhere", b"x")
    rig.run_until_idle()
    (returned,) = publisher.all(c.Basic.Return)
    assert (returned.method.reply_code, returned.method.routing_key, returned.body) == (312, "nowhere", b"x")
    assert publisher.confirms() == [("ack", 1), ("ack", 2)]
    kinds = [
        type(message.method)
        for message in publisher.received
        if isinstance(message.method, c.Basic.Return | c.Basic.Ack)
    ]
    assert kinds[0] is c.Basic.Return  # the return comes before its confirm


def test_a_flood_of_one_publisher_does_not_delay_others() -> None:
    rig = AmqpRig(publisher_waiting=50, max_waiting=1000)
    run_counts = Counter[str]()
    worker = rig.peer()
    run_jobs(worker, run_counts, "hold")
    worker.subscribe("reminder", prefetch=2)
    flood, other = rig.publisher(), rig.publisher()
    for k in range(500):
        rig.publish_request(flood, f"f{k}")
    rig.publish_request(other, "one")
    rig.run_until_idle()
    assert flood.wire.protocol.session.waiting == 50 and flood.wire.paused  # not read any further
    assert rig.broker.has_seen("one") and not other.wire.paused
    run_jobs(worker, run_counts)
    for message in worker.deliveries():
        worker.send(c.Basic.Ack(message.method.delivery_tag))
    rig.advance(3000)
    assert Counter(outcome for outcome, *_ in flood.answers()) == {"served": 500}
    assert [outcome for outcome, *_ in other.answers()] == ["served"] and rig.is_idle()


def test_publishers_are_blocked_and_notified_while_the_core_is_full() -> None:
    rig = AmqpRig(publisher_waiting=1000, max_waiting=10)
    run_counts = Counter[str]()
    worker = rig.peer()
    run_jobs(worker, run_counts, "hold")
    worker.subscribe("reminder", prefetch=2)
    flood = rig.publisher()
    for k in range(40):
        rig.publish_request(flood, f"f{k}")
    rig.run_until_idle()
    assert rig.publishers.waiting == 10 and len(flood.methods(c.Connection.Blocked)) == 1
    run_jobs(worker, run_counts)
    for message in worker.deliveries():
        worker.send(c.Basic.Ack(message.method.delivery_tag))
    rig.advance(1000)
    assert flood.methods(c.Connection.Unblocked) and not flood.wire.paused
    assert Counter(outcome for outcome, *_ in flood.answers()) == {"served": 40}


def test_a_connection_with_unacked_deliveries_is_always_read() -> None:
    # Guards against pausing a connection that carries acks, which delays answers until their deadlines.
    rig = AmqpRig(max_waiting=4)
    both = rig.publisher()
    both.subscribe("reminder")
    for k in range(10):
        rig.publish_request(both, f"a{k}")
    rig.run_until_idle()
    assert not both.wire.paused
    assert Counter(outcome for outcome, *_ in both.answers()) == {"refused": 6}
    run_jobs(both, Counter())
    for message in both.deliveries():
        both.send(c.Basic.Ack(message.method.delivery_tag))
    rig.run_until_idle()
    assert Counter(outcome for outcome, *_ in both.answers()) == {"refused": 6, "served": 4} and rig.is_idle()


# ---- both protocols


def test_an_http_request_runs_at_an_amqp_subscriber() -> None:
    rig = AmqpRig()
    worker = rig.peer()
    run_jobs(worker, Counter())
    worker.subscribe("reminder")
    caller = rig.submit("h1")
    rig.run_until_idle()
    (message,) = worker.deliveries()
    properties = message.properties
    assert caller.answers == [("served", b"ran")] and message.body == b"by http"
    assert (properties.message_id, properties.correlation_id, properties.content_type) == (
        "h1",
        "h1",
        "text/plain",
    )
    assert properties.headers == {"x-route-hash": "7f", "x-target": "/reminder/x?y=1"}
    assert message.method.routing_key == "reminder" and 8000 < int(properties.expiration) < 9000


def test_an_http_request_fails_once_if_the_channel_of_its_subscriber_closes() -> None:
    rig = AmqpRig()
    worker = rig.peer()
    run_jobs(worker, run_counts := Counter[str](), "hold")
    worker.subscribe("reminder")
    caller = rig.submit("h1")
    rig.run_until_idle()
    worker.publish("lookup", exchange="nowhere")  # a soft error
    rig.advance(9000)
    assert [x.reply_code for x in worker.methods(c.Channel.Close)] == [404]
    assert caller.answers == [("failed",)] and run_counts == {"h1": 1} and rig.is_idle()


def test_an_amqp_request_runs_at_an_http_endpoint() -> None:
    rig = AmqpRig(http_endpoints=1)
    publisher = rig.publisher()
    headers = {
        "x-route-hash": "7f",
        "x-again": True,
        "x-call-info": "work=3.5,slots=2",
        "x-target": "/lookup/q?a=1",
    }
    rig.publish_request(publisher, "a", "lookup", expiration="700", headers=headers, content_type="text/html")
    rig.run_until_idle()
    (call,) = rig.http.calls
    request, work = call.request, call.request.payload
    assert (work.method, work.target, work.body) == (b"POST", b"/lookup/q?a=1", b"body of a")
    assert work.headers == {
        b"x-call-class": b"lookup", b"x-route-hash": b"7f", b"x-again": b"1",
        b"x-call-info": b"work=3.5,slots=2", b"content-type": b"text/html",
    }  # fmt: skip
    assert (request.key, request.hint, request.slots, request.repeat) == (0x7F, 3.5, 2.0, True)
    assert 600 < request.deadline - rig.now() <= 700
    rig.broker.call_ended(call, m.AttemptOutcome.OK, b"by http")
    rig.run_until_idle()
    assert publisher.answers() == [("served", "c-a", b"by http")] and publisher.confirms() == [("ack", 1)]


def test_further_properties_reach_subscribers_unchanged() -> None:
    rig, publisher, (worker,), _ = rig_with()
    extra: dict[str, Any] = {
        "content_encoding": "gzip",
        "app_id": "app",
        "message_type": "kind",
        "priority": 3,
    }
    rig.publish_request(publisher, "a", headers={"own": {"deep": [1, "x", True]}, "x-again": "1"}, **extra)
    rig.run_until_idle()
    properties = worker.deliveries()[0].properties
    assert properties.headers == {"own": {"deep": [1, "x", True]}, "x-again": "1"}
    assert {key: getattr(properties, key) for key in extra} == extra


def test_a_complete_list_of_discovery_does_not_affect_subscribers() -> None:
    # Guards against removing subscribers when discovery sends a complete list, which has only its endpoints.
    rig, publisher, _, _ = rig_with()
    from bitternpath.balancer.core.endpoint_registry import Endpoint, Listing

    row = Endpoint("s9", "h:9", "z", "k", 0, m.WorkerState.SERVING, 1.0, 0.0)
    rig.registry.apply(Listing(7, True, (row,)))
    rig.registry.apply(Listing(8, True, ()))
    rig.run_until_idle()
    rig.publish_request(publisher, "a")
    rig.run_until_idle()
    assert publisher.answers() == [("served", "c-a", b"ran")]
    # An endpoint from discovery with the name of a subscriber does not replace the subscriber.
    name = next(iter(rig.subscribers.by_endpoint))
    rig.registry.apply(
        Listing(9, True, (Endpoint(name, "h:9", "z", "k", 0, m.WorkerState.SERVING, 1.0, 0.0),))
    )
    endpoint = rig.registry.serving(name)
    assert endpoint is not None and endpoint.protocol == "amqp"


def test_http_callbacks_do_not_affect_calls_at_subscribers() -> None:
    # Guards against HTTP clients that end the jobs of subscribers by forged callbacks.
    from bitternpath.balancer.core.requests import CallReport, CallState

    rig, publisher, _, _ = rig_with("hold")
    rig.publish_request(publisher, "a")
    rig.run_until_idle()
    for endpoint in list(rig.subscribers.by_endpoint):
        rig.broker.call_reported(CallReport("a", endpoint, CallState.RETURNED, None, b""))
        rig.broker.call_reported(CallReport("a", endpoint, CallState.DONE, None, b"forged"))
    rig.run_until_idle()
    assert publisher.answers() == []


def test_a_subscriber_serves_its_class_only() -> None:
    rig = AmqpRig()
    worker = rig.peer()
    run_jobs(worker, Counter())
    worker.subscribe(
        "reminder", **{"x-site": "suva", "x-kind": "standard", "x-size": 2.0, "x-up-since-ms": 0}
    )
    publisher = rig.publisher()
    rig.publish_request(publisher, "a", "lookup", expiration="200")
    rig.publish_request(publisher, "b", "reminder", expiration="200")
    rig.advance(200)
    assert {id: outcome for outcome, id, _ in publisher.answers()} == {
        "c-a": "refused",
        "c-b": "served",
    }
    (row,) = [p for p in rig.registry.endpoints.values() if p.source == "amqp"]
    assert (row.zone, row.kind, row.size, row.slots) == ("suva", "standard", 2.0, 4)


def test_a_result_is_accepted_once_and_for_its_own_delivery_only() -> None:
    rig, publisher, (worker,), _ = rig_with("hold")
    rig.publish_request(publisher, "a")
    rig.run_until_idle()
    (message,) = worker.deliveries()
    reply_to = message.properties.reply_to
    worker.publish("amq.result.00", b"guessed", correlation_id="a")
    worker.publish(reply_to, b"for another", correlation_id="zzz")
    worker.publish(reply_to, b"first", correlation_id="a")
    worker.publish(reply_to, b"second", correlation_id="a")
    worker.send(c.Basic.Ack(message.method.delivery_tag))
    worker.publish(reply_to, b"late", correlation_id="a")
    rig.run_until_idle()
    assert (
        publisher.answers() == [("served", "c-a", b"first")]
        and rig.subscribers.counts["results_dropped"] == 4
    )
    assert worker.wire.protocol.session.pending_result_bytes == 0


def test_answers_are_sent_to_private_queues() -> None:
    rig, _, _, _ = rig_with()
    peer = rig.peer()
    peer.send(c.Queue.Declare(queue="", exclusive=True))
    rig.run_until_idle()
    (ok,) = peer.methods(c.Queue.DeclareOk)
    assert ok.queue.startswith("amq.gen-")
    rig.publish_request(peer, "a", reply_to=ok.queue)
    rig.run_until_idle()
    assert peer.answers() == []
    peer.send(c.Basic.Get(queue=ok.queue))
    peer.send(c.Basic.Get(queue=ok.queue))
    rig.run_until_idle()
    (message,) = peer.all(c.Basic.GetOk)
    assert message.outcome == ("served", "c-a", b"ran") and len(peer.methods(c.Basic.GetEmpty)) == 1
    peer.send(c.Basic.Nack(message.method.delivery_tag, False, True))
    peer.send(c.Basic.Consume(queue=ok.queue, consumer_tag="q"))
    rig.run_until_idle()
    (again,) = peer.all(c.Basic.Deliver)
    assert again.method.redelivered and again.outcome == ("served", "c-a", b"ran")
    rig.publish_request(peer, "b", reply_to="amq.gen-unknown")
    rig.run_until_idle()
    assert rig.publishers.counts["answers_dropped"] == 1


def test_a_full_private_queue_drops_and_counts_messages() -> None:
    rig = AmqpRig(reply_queue_bytes=65536)
    peer = rig.peer()
    peer.send(c.Confirm.Select())
    peer.send(c.Queue.Declare(queue="mine", exclusive=True))
    for _ in range(5):
        peer.publish("mine", b"x" * 20_000)
    rig.run_until_idle()
    assert [kind for kind, _ in peer.confirms()] == ["ack", "ack", "ack", "nack", "nack"]
    assert rig.publishers.counts["queues_full"] == 2


def test_a_peer_that_does_not_read_is_disconnected() -> None:
    rig, publisher, _, _ = rig_with(unread_bytes=262144)
    rig.run_until_idle()
    publisher.wire.stalled = True
    for k in range(9000):
        rig.publish_request(publisher, f"a{k}")
        if k % 200 == 0:
            rig.run_until_idle()
    rig.run_until_idle()
    assert not publisher.wire.connected and rig.publishers.counts["slow_readers"] == 1


def test_results_without_acks_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    from bitternpath.balancer.amqp import subscribers

    monkeypatch.setattr(subscribers, "MAX_PENDING_RESULT_BYTES", 100)
    rig, publisher, (worker,), _ = rig_with("hold")

    def publish_result(message: ReceivedMessage) -> None:
        worker.publish(message.properties.reply_to, b"x" * 60)

    worker.handlers[c.Basic.Deliver] = publish_result
    rig.publish_request(publisher, "a")
    rig.publish_request(publisher, "b")
    rig.advance(10)
    assert [x.reply_code for x in worker.methods(c.Connection.Close)] == [506]
    assert sorted(outcome for outcome, *_ in publisher.answers()) == ["failed", "served"]
