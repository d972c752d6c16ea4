"""A client that disconnects: no work starts for it, at any stage of its request."""

from __future__ import annotations

import resource
import select
import signal
import socket
from pathlib import Path

from peers import FullBacklogPeer, message, respond
from rig import Rig, done, running, wait_until

NO_CANCEL = {"cancel": False, "dialTimeout": 60000.0}  # calls that wait for a connection are not cancelled


def full_backlog_peer(rig: Rig) -> FullBacklogPeer:
    """Move the endpoint to a listener with a full backlog, where dials stay pending."""
    peer = FullBacklogPeer()
    rig.endpoints[0].server = peer  # type: ignore[assignment]
    rig.change(rig.endpoints[0], "up")
    return peer


def job(id: str, budget: int = 60_000) -> bytes:
    lines = [
        "POST /lookup HTTP/1.1",
        "Host: x",
        f"X-Call-Id: {id}",
        f"X-Budget-Ms: {budget}",
        "Content-Length: 1",
    ]
    return ("\r\n".join(lines) + "\r\n\r\nb").encode()


def test_call_waiting_for_a_connection_is_not_sent_after_its_client_closed(tmp_path: Path) -> None:
    # Guards against sending the request of a disconnected client on a connection that is established late.
    with running(tmp_path, done, console=True, allowed=NO_CANCEL) as rig, full_backlog_peer(rig) as peer:
        first = rig.socket()
        first.sendall(job("a"))
        wait_until(lambda: rig.statistics()["app.inflight"] == 1)
        first.close()
        wait_until(lambda: rig.statistics()["app.inflight"] == 0)
        second = rig.socket()
        second.sendall(job("b"))
        wait_until(lambda: rig.statistics()["app.inflight"] == 1)
        peer.accept_queued()  # type: ignore[attr-defined]
        at, received = peer.next_message()  # type: ignore[attr-defined]
        assert b"X-Call-Id: b\r\n" in received
        respond(at, 202)
        rig.endpoints[0].send_callback("b", "done", result="made")
        assert message(second).endswith(b"made")


def test_close_after_excessive_pipelining_is_noticed(tmp_path: Path) -> None:
    # Guards against not reading a client that has sent too much, so that its close goes unnoticed.
    with running(tmp_path, done, console=True, allowed=NO_CANCEL) as rig, full_backlog_peer(rig):
        with rig.socket() as sock:
            sock.sendall(job("a") + b"".join(job(f"b{k}") for k in range(4000)))
            wait_until(lambda: rig.statistics()["app.inflight"] == 1)
        wait_until(lambda: rig.statistics()["app.inflight"] == 0)


def test_excessive_pipelining_gets_one_413_after_the_due_responses(tmp_path: Path) -> None:
    with running(tmp_path, done) as rig, rig.socket() as sock:
        count = 4000
        sock.sendall(b"".join(job(f"a{k}") for k in range(count)))
        received = b""
        while data := sock.recv(65536):
            received += data
        served = received.count(b"HTTP/1.1 200")
        assert (
            1000 < served < count
            and received.count(b"HTTP/1.1 413") == 1
            and received.count(b"HTTP/1.1 ") == served + 1
        )
        assert rig.posts == served and rig.submit("z")[0] == 200


def test_request_is_not_sent_if_its_client_closed_while_the_node_was_stopped(tmp_path: Path) -> None:
    # Guards against sending a request before checking for the close that follows it in the input.
    with running(tmp_path, done) as rig:
        assert rig.submit("a")[0] == 200
        rig.process.send_signal(signal.SIGSTOP)
        for k in range(5):
            with rig.socket() as sock:
                sock.sendall(job(f"b{k}"))
        rig.process.send_signal(signal.SIGCONT)
        assert rig.submit("c")[0] == 200
        assert rig.posts == 2


def test_half_close_counts_as_disconnect(tmp_path: Path) -> None:
    # A half-close and a close look the same before a response is written (docs/questions/acceptance.md).
    with (
        running(tmp_path, done, console=True, allowed=NO_CANCEL) as rig,
        full_backlog_peer(rig),
        rig.socket() as sock,
    ):
        sock.sendall(job("a"))
        wait_until(lambda: rig.statistics()["app.inflight"] == 1)
        sock.shutdown(socket.SHUT_WR)
        wait_until(lambda: rig.statistics()["app.inflight"] == 0)


def test_node_survives_running_out_of_descriptors(tmp_path: Path) -> None:
    with running(tmp_path, done) as rig:
        assert rig.submit("a")[0] == 200
        soft, hard = resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (32, hard))
        connections = [rig.socket() for _ in range(64)]  # the node is configured for 256
        wait_until(
            lambda: sum(bool(select.select([sock], [], [], 0)[0]) for sock in connections) > 10
        )  # refused
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (soft, hard))
        for sock in connections:
            sock.close()
        assert rig.submit("b")[0] == 200
