"""The node as a process, on real loopback sockets."""

from __future__ import annotations

import contextlib
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from peers import Peer
from rig import Discovery, Endpoint, Rig, accept, done, hang, reject, reply, reset, running, wait_until

from bitternpath.net.http1 import BODY_LIMIT, HEAD_LIMIT
from bitternpath.net.sockets import Sockets

JOB = b"POST /lookup HTTP/1.1\r\nX-Call-Id: x\r\n"


def test_rule_1_an_accepted_request_is_answered_once_before_its_deadline(tmp_path: Path) -> None:
    with running(tmp_path, hang) as rig:
        status, body, _ = rig.submit("a", "/reminder", budget=600)
        assert (status, body) == (500, b"")
        assert rig.endpoints[0].posts == 1


def test_rule_2_a_call_that_may_have_run_is_not_retried(tmp_path: Path) -> None:
    with running(tmp_path, reset, reset, reset) as rig:
        assert rig.submit("a", "/reminder")[0] == 500
        assert sum(p.posts for p in rig.endpoints) == 1


def test_rule_2_a_call_that_never_ran_is_retried_at_another_endpoint(tmp_path: Path) -> None:
    with running(tmp_path, reject, reject, reject, done) as rig:
        for k in range(6):
            assert rig.submit(f"a{k}", "/reminder")[:2] == (200, b"made by s-3")
        assert sum(p.posts for p in rig.endpoints) > 6


def test_rule_3_a_draining_endpoint_gets_no_new_calls(tmp_path: Path) -> None:
    with running(tmp_path, done, done) as rig:
        draining = rig.endpoints[0]
        rig.change(draining, "draining")
        before = draining.posts
        for k in range(20):
            assert rig.submit(f"a{k}")[1] == b"made by s-1"
        assert draining.posts == before


def test_rule_4_an_endpoint_that_just_started_is_not_overloaded(tmp_path: Path) -> None:
    with running(tmp_path, done, done, (done, time.time() * 1000)) as rig, ThreadPoolExecutor(8) as pool:
        assert {r[0] for r in pool.map(rig.submit, [f"a{k}" for k in range(40)])} == {200}
        assert rig.endpoints[2].posts <= 1  # its initial intervals between calls are minutes here


def test_sigterm_answers_accepted_requests_and_exits_with_0(tmp_path: Path) -> None:
    with running(tmp_path, accept) as rig, ThreadPoolExecutor(4) as pool:
        endpoint = rig.endpoints[0]
        first = pool.submit(rig.submit, "first")
        wait_until(lambda: endpoint.posts == 1)
        rig.terminate()
        wait_until(lambda: rig.send("GET", "/ready")[0] == 503)
        second = pool.submit(rig.submit, "second")
        wait_until(lambda: endpoint.posts == 2)
        for id in ("first", "second"):
            assert endpoint.send_callback(id, "done", result=id) == 204
        assert first.result()[:2] == (200, b"first")
        assert second.result()[:2] == (200, b"second")
        assert second.result()[2].getheader("Connection") == "close"
        assert rig.process.wait(20) == 0


def test_a_partially_sent_request_does_not_delay_shutdown(tmp_path: Path) -> None:
    # Guards against waiting 30 s for the rest of the request: the node would be killed meanwhile.
    with running(tmp_path, done) as rig:
        connection = rig.open()
        connection.connect()
        connection.send(JOB)
        rig.terminate()
        assert rig.process.wait(20) == 0
        connection.close()


def test_callbacks_may_be_early_repeated_or_for_unknown_calls(tmp_path: Path) -> None:
    def early(endpoint: Endpoint, handler: object, id: str) -> None:
        for state in ("started", "running", "done", "done", "failed"):
            endpoint.send_callback(id, state, share=0.5, result="first")
        reply(handler, 202)  # type: ignore[arg-type]

    with running(tmp_path, early) as rig:
        for k in range(3):
            assert rig.submit(f"a{k}", "/reminder")[:2] == (200, b"first")
        assert rig.endpoints[0].send_callback("never seen", "done") == 204
        assert rig.endpoints[0].posts == 3


def test_target_and_body_reach_the_endpoint_unaltered(tmp_path: Path) -> None:
    with running(tmp_path, done) as rig:
        body = bytes(range(256)) * 256
        assert rig.submit("a", "/lookup/x%20y?b=%2F&c", body=body)[0] == 200
        assert rig.endpoints[0].requests == [("POST", "/lookup/x%20y?b=%2F&c", body)]


def test_end_to_end_headers_are_forwarded_and_hop_by_hop_headers_are_not(tmp_path: Path) -> None:
    # Guards against dropping end-to-end headers: endpoints that deduplicate by Idempotency-Key need the key.
    with running(tmp_path, done) as rig, Peer() as peer, rig.socket() as sock:
        rig.endpoints[0].server = peer  # type: ignore[assignment]
        rig.change(rig.endpoints[0], "up")
        sent = ["Host: x", "X-Call-Id: a", "X-Budget-Ms: 60000", "Idempotency-Key: k 1", "X-Caller: east"]
        sent += ["Traceparent: 00-1", "Connection: keep-alive, X-Mine", "X-Mine: 1", "Keep-Alive: 5", "TE: x"]
        sent += ["Accept: a", "Accept: b", "Transfer-Encoding: chunked"]
        head = "\r\n".join(["POST /lookup HTTP/1.1", *sent])
        sock.sendall(f"{head}\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n".encode())
        _, got = peer.next_message()
        lines = got.lower().split(b"\r\n")
        names = [line.partition(b":")[0] for line in lines[1 : lines.index(b"")]]
        assert {b"idempotency-key: k 1", b"x-caller: east", b"traceparent: 00-1", b"accept: a,b"} <= {*lines}
        assert not {b"x-mine", b"keep-alive", b"te", b"transfer-encoding", b"connection"} & {*names}
        assert len(names) == len({*names}) and got.endswith(b"\r\n\r\nbody")


def test_a_repeated_id_is_refused_and_does_not_affect_the_first_request(
    tmp_path: Path,
) -> None:
    with running(tmp_path, accept) as rig, ThreadPoolExecutor(1) as pool:
        first = pool.submit(rig.submit, "a", "/reminder")
        wait_until(lambda: rig.endpoints[0].posts)
        assert rig.submit("a", "/reminder")[0] == 409
        assert rig.endpoints[0].send_callback("a", "done", result="r") == 204
        assert first.result()[:2] == (200, b"r") and len(rig.endpoints[0].requests) == 1
        assert rig.submit("a", "/reminder")[0] == 409 and len(rig.endpoints[0].requests) == 1


def test_a_job_is_cancelled_when_its_client_disconnects(tmp_path: Path) -> None:
    with running(tmp_path, accept) as rig:
        connection = rig.open()
        connection.request("POST", "/lookup", b"", {"X-Call-Id": "a", "X-Budget-Ms": "9000"})
        wait_until(lambda: rig.endpoints[0].posts)
        rig.endpoints[0].send_callback("a", "started")
        connection.close()
        assert rig.endpoints[0].deleted.wait(20)
        assert rig.endpoints[0].requests[-1][:2] == ("DELETE", "/jobs/a")


def test_calls_to_an_unreachable_endpoint_are_retried_elsewhere(tmp_path: Path) -> None:
    with running(tmp_path, done, done) as rig:
        rig.endpoints[0].server.http.shutdown()
        rig.endpoints[0].server.http.server_close()
        for k in range(6):
            assert rig.submit(f"a{k}", "/reminder")[:2] == (200, b"made by s-1")


def test_a_broken_watch_resumes_from_its_last_index(tmp_path: Path) -> None:
    with running(tmp_path, done) as rig:
        assert rig.discovery.subscriptions.get(timeout=20).endswith("index=1")
        rig.revision = 7
        rig.discovery.changes.put(rig.listing())
        rig.discovery.changes.put(None)
        assert rig.discovery.subscriptions.get(timeout=20) == "/v1/endpoints?stream=1&index=7"


def test_sighup_moves_the_watch_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    # Guards against a process that ends at SIGHUP, and against PROXY_DISCOVERY overriding the new address.
    with running(tmp_path, done, done) as rig:
        old = rig.discovery
        rig.revision = 5
        old.changes.put(rig.listing())
        wait_until(lambda: rig.logged("event=endpoint_list_applied revision=5 "))
        good = json.dumps(rig.config)
        for bad in (
            "{",
            json.dumps(rig.config | {"discovery": "nowhere"}),
            json.dumps(rig.config | {"settings": {}}),
        ):
            rig.reload(bad, "event=reload_failed")
        assert len(rig.logged("event=reload_failed")) == 3 and not old.disconnected.is_set()
        rig.reload(good)
        assert not old.disconnected.is_set() and old.subscriptions.qsize() == 1  # the watch is unchanged
        new = rig.discovery = Discovery(rig)
        rig.reload(json.dumps(rig.config | {"discovery": new.address, "listen": "127.0.0.1:1"}))
        assert rig.logged("needs_restart=listen")
        assert new.subscriptions.get(timeout=20).endswith("index=5")
        assert old.disconnected.wait(20)
        assert rig.submit("a")[0] == 200
        rig.change(rig.endpoints[0], "draining")
        assert rig.submit("b")[1] == b"made by s-1"
        rig.terminate()
        rig.process.send_signal(signal.SIGHUP)
        assert rig.process.wait(20) == 0


def test_sighup_while_a_watch_cannot_be_opened(tmp_path: Path) -> None:
    # Guards against delaying the move by the retry delay of the previous address. Meanwhile requests are
    # served by the known list.
    with running(tmp_path, done) as rig:
        wait_until(lambda: rig.logged("event=endpoint_list_applied "))  # from the first watch
        nowhere = json.dumps(rig.config | {"discovery": "127.0.0.1:9"})
        rig.reload(nowhere)
        wait_until(lambda: len(rig.logged("event=subscription_lost")) >= 3)
        assert (
            not rig.discovery.disconnected.is_set()
        )  # the old watch stays until a new one has sent a message
        assert rig.submit("a")[0] == 200
        new = Discovery(rig)
        rig.reload(nowhere)
        rig.reload(json.dumps(rig.config | {"discovery": new.address}))
        assert new.subscriptions.get(timeout=20).endswith("index=1") and rig.discovery.disconnected.wait(20)


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> object:
    with running(tmp_path_factory.mktemp("node"), done) as rig:
        yield rig


@pytest.mark.parametrize(
    ("status", "data"),
    [
        (200, b"GET /ready HTTP/1.1\r\n\r\n"),
        (400, b"nonsense\r\n\r\n"),
        (400, JOB + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
        (400, JOB.replace(b"X-Call-Id: x\r\n", b"") + b"Content-Length: 0\r\n\r\n"),
        (400, JOB + b"X-Budget-Ms: soon\r\nContent-Length: 0\r\n\r\n"),
        (400, JOB + b"X-Budget-Ms:\r\nContent-Length: 0\r\n\r\n"),
        (400, JOB + b"X-Budget-Ms: -5\r\nContent-Length: 0\r\n\r\n"),
        (400, JOB + b"X-Call-Class: reminder\r\nContent-Length: 0\r\n\r\n"),
        (400, b"POST /_jobs/news HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]"),
        (400, b'POST /_jobs/news HTTP/1.1\r\nContent-Length: 17\r\n\r\n{"id":1,"from":2}'),
        (404, b"POST /elsewhere HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
        (405, b"GET /lookup HTTP/1.1\r\n\r\n"),
        (405, b"POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
        (405, b"GET /_jobs/news HTTP/1.1\r\n\r\n"),
        (411, JOB + b"\r\n"),
        (413, JOB + b"Content-Length: %d\r\n\r\n" % (BODY_LIMIT + 1)),
        (431, JOB + b"A: " + b"a" * HEAD_LIMIT),
        (100, JOB + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"),
    ],
)
def test_status_of_an_answer(shared: Rig, status: int, data: bytes) -> None:
    assert shared.raw(data).startswith(b"HTTP/1.1 %d " % status)


def test_calls_succeed_with_more_client_connections_than_sockets(tmp_path: Path) -> None:
    # Guards against clients that take all sockets: at the limit, idle connections are closed and accepting
    # pauses, so that calls still get sockets.
    with running(tmp_path, done, sockets=64) as rig, contextlib.ExitStack() as stack:
        for _ in range(100):
            connection = stack.enter_context(contextlib.closing(rig.open()))
            connection.connect()
        for k in range(5):
            assert rig.submit(f"a{k}")[0] == 200
        fds = Path(f"/proc/{rig.process.pid}/fd")
        assert len(list(fds.iterdir())) <= 64


def test_idle_connections_are_closed_for_new_ones(tmp_path: Path) -> None:
    # Guards against closing at most 80 idle connections per second: at higher rates requests were not
    # accepted.
    with running(tmp_path, done, sockets=64) as rig, contextlib.ExitStack() as stack:
        for k in range(400):
            connection = stack.enter_context(contextlib.closing(rig.open()))
            connection.request("GET", "/ready")
            assert connection.getresponse().read() == b""
            if k % 50 == 0:
                assert rig.submit(f"a{k}")[0] == 200


def test_silent_and_slow_connections_time_out_but_idle_keep_alive_ones_stay(shared: Rig) -> None:
    # Guards against silent connections without a timeout, 30 s for partial requests, and timeouts that are
    # extended by single bytes.
    with contextlib.ExitStack() as stack:
        silent, partial, trickling, idle = (stack.enter_context(shared.socket()) for _ in range(4))
        for sock in (partial, trickling):
            sock.sendall(JOB)
        idle.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        assert idle.recv(4096).startswith(b"HTTP/1.1 200 ")
        got = b""
        while not got:
            with contextlib.suppress(TimeoutError, OSError):
                trickling.sendall(b"a")
                trickling.settimeout(0.1)
                got = trickling.recv(4096)
        assert got.startswith(b"HTTP/1.1 408 ")
        assert partial.recv(4096).startswith(b"HTTP/1.1 408 ") and partial.recv(1) == b""
        assert silent.recv(1) == b""
        idle.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        assert idle.recv(4096).startswith(b"HTTP/1.1 200 ")


def test_an_error_response_reaches_a_client_that_keeps_sending(shared: Rig) -> None:
    # Guards against closing with unread input, which resets the connection and loses the answer. Input after
    # an error must not be parsed as a request, nor kept in memory.
    memory = Path(f"/proc/{shared.process.pid}/status")
    before = shared.endpoints[0].posts
    with shared.socket() as sock:
        sock.sendall(JOB + b"Content-Length: 60000000\r\n\r\n")
        for _ in range(600):
            sock.sendall((JOB + b"Content-Length: 0\r\n\r\n").ljust(100_000, b"\n"))
        data = b""
        while got := sock.recv(4096):
            data += got
    assert data.startswith(b"HTTP/1.1 413 ") and data.count(b"HTTP/1.1") == 1
    assert shared.endpoints[0].posts == before
    peak = next(line for line in memory.read_text().splitlines() if line.startswith("VmHWM"))
    assert int(peak.split()[1]) < 60_000  # kB; the interpreter takes some 25,000


def test_waiting_requests_leave_sockets_for_callbacks(tmp_path: Path) -> None:
    # Guards against waiting requests that occupy all sockets of the listener, so that no callback ends them.
    with running(tmp_path, accept, sockets=64) as rig, ThreadPoolExecutor(60) as pool:
        capacity = Sockets(64).request_limit
        requests = [pool.submit(rig.submit, f"a{k}", body=b"a%d" % k) for k in range(60)]
        wait_until(lambda: sum(answer.done() for answer in requests) >= 60 - capacity)
        rejected = [answer.result()[2] for answer in requests if answer.done()]
        assert {(r.status, r.getheader("Connection")) for r in rejected} == {(503, "close")}
        assert all(0 < float(r.getheader("Retry-After") or 0) <= 2 for r in rejected)
        reported: set[bytes] = set()
        while not all(answer.done() for answer in requests):
            for _, _, id in rig.endpoints[0].requests:
                if id not in reported:
                    reported.add(id)
                    assert rig.endpoints[0].send_callback(id.decode(), "done", result="r") == 204
        assert sum(answer.result()[:2] == (200, b"r") for answer in requests) == capacity == len(reported)


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    with running(tmp_path, done) as rig:
        sock = rig.open()
        sock.connect()
        request = JOB.replace(b": x", b": %d") + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
        assert sock.sock is not None
        sock.sock.sendall(b"".join(request % k for k in range(3)) + b"GET /ready HTTP/1.1\r\n\r\n")
        data = b""
        while data.count(b"HTTP/1.1 200") < 4:
            got = sock.sock.recv(4096)
            assert got
            data += got
        assert data.count(b"made by s-0") == 3
        sock.close()
