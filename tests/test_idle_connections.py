"""Idle connections to endpoints: unexpected data affects no later call."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from peers import Peer, is_closed, message, respond
from rig import Rig, done, running

LONG_IDLE_TIMEOUT = {"connIdle": 600_000.0}  # ms; idle connections are not closed during the test


@contextmanager
def controlled_endpoint(path: Path) -> Iterator[tuple[Rig, Peer]]:
    """A node with one endpoint that the test controls byte by byte."""
    with running(path, done, allowed=LONG_IDLE_TIMEOUT) as rig, Peer() as peer:
        rig.endpoints[0].server = peer  # type: ignore[assignment]
        rig.change(rig.endpoints[0], "up")
        yield rig, peer


def send_job(rig: Rig, id: str) -> socket.socket:
    """Send a job that must not run twice, and return the socket of its client."""
    sock = rig.socket()
    text = f"POST /reminder HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
    sock.sendall(text.encode())
    return sock


def serve_job(rig: Rig, peer: Peer, id: str, sock: socket.socket) -> socket.socket:
    """Accept the job and report its result; return the connection that carried it."""
    connection, request = peer.next_message()
    assert b"X-Call-Id: %b\r\n" % id.encode() in request
    respond(connection, 202)
    rig.endpoints[0].send_callback(id, "done", result=f"made of {id}")
    with sock:
        assert message(sock).endswith(b"made of " + id.encode())
    return connection


def test_partial_line_on_an_idle_connection_affects_no_later_call(tmp_path: Path) -> None:
    # Guards against keeping the partial line, which would be joined with the response to the next call.
    with controlled_endpoint(tmp_path) as (rig, peer):
        connection = serve_job(rig, peer, "a", send_job(rig, "a"))
        connection.sendall(b"HTTP/1.1 50")
        assert is_closed(connection)
        serve_job(rig, peer, "b", send_job(rig, "b"))


def test_incomplete_response_is_aborted_after_the_job_ends(tmp_path: Path) -> None:
    # Guards against keeping a connection whose response stays incomplete after the call-back ended the job.
    with controlled_endpoint(tmp_path) as (rig, peer):
        sock = send_job(rig, "a")
        connection, _ = peer.next_message()
        connection.sendall(b"HTTP/1.1 202 x\r\nContent-Length: 9\r\n\r\nhalf")
        rig.endpoints[0].send_callback("a", "done", result="made")
        with sock:
            assert message(sock).endswith(b"made")
        assert is_closed(connection)
