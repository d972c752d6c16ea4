"""Connections to endpoints that rest: what crosses there costs no call but its own."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from peers import Peer, is_closed, message, respond
from rig import Rig, done, running

RESTS_LONG = {"connIdle": 600_000.0}  # no connection is closed for its age


@contextmanager
def scripted(path: Path) -> Iterator[tuple[Rig, Peer]]:
    """A node whose one endpoint does, byte by byte, as the test says."""
    with running(path, done, allowed=RESTS_LONG) as rig, Peer() as peer:
        rig.endpoints[0].server = peer  # type: ignore[assignment]
        rig.change(rig.endpoints[0], "up")
        yield rig, peer


def asks(rig: Rig, id: str) -> socket.socket:
    """A client whose job must not run twice."""
    sock = rig.socket()
    text = f"POST /reminder HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
    sock.sendall(text.encode())
    return sock


def serves(rig: Rig, peer: Peer, id: str, sock: socket.socket) -> socket.socket:
    """The job comes, is taken, done and answered; the connection it came on."""
    at, got = peer.next_message()
    assert b"X-Call-Id: %b\r\n" % id.encode() in got
    respond(at, 202)
    rig.endpoints[0].send_callback(id, "done", result=f"made of {id}")
    with sock:
        assert message(sock).endswith(b"made of " + id.encode())
    return at


def test_half_a_line_on_a_resting_connection_spoils_no_later_call(tmp_path: Path) -> None:
    # Guards: it was kept, and the answer to the next call there was read as its other half.
    with scripted(tmp_path) as (rig, peer):
        at = serves(rig, peer, "a", asks(rig, "a"))
        at.sendall(b"HTTP/1.1 50")
        assert is_closed(at)
        serves(rig, peer, "b", asks(rig, "b"))


def test_an_answer_that_never_ends_holds_its_connection_no_longer_than_the_job(tmp_path: Path) -> None:
    # Guards: the call-back told the end of the job, and nobody gave the connection up any more.
    with scripted(tmp_path) as (rig, peer):
        sock = asks(rig, "a")
        at, _ = peer.next_message()
        at.sendall(b"HTTP/1.1 202 x\r\nContent-Length: 9\r\n\r\nhalf")
        rig.endpoints[0].send_callback("a", "done", result="made")
        with sock:
            assert message(sock).endswith(b"made")
        assert is_closed(at)
