"""Shutdown of a process, and signals during its start."""

from __future__ import annotations

import json
import os
import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from peers import Peer, message
from rig import SETTINGS, Rig, done, running, wait_until
from twisted.internet.task import Clock as Reactor

from bitternpath.balancer.core.lifecycle import (
    Lifecycle,
    answer_time_after_stop,
    idle_connection_time_after_stop,
)
from bitternpath.balancer.http.listener import Listener
from bitternpath.balancer.http.request_handler import NodeChecks, RequestHandler
from bitternpath.balancer.settings import settings_from


@pytest.fixture
def starting(tmp_path: Path) -> Iterator[Rig]:
    """A node whose next process blocks during its start, since its configuration file is a pipe."""
    with running(tmp_path, done) as rig:
        rig.terminate()
        assert rig.process.wait(20) == 0
        rig.previous_processes.append(rig.process)
        rig.file.unlink()
        os.mkfifo(rig.file)
        rig.process = rig.spawn()
        yield rig


def test_sighup_during_the_start_does_not_end_the_process(starting: Rig) -> None:
    # Guards against a SIGHUP to all nodes that ends those that are still starting.
    text, replacement = json.dumps(starting.config), starting.file.with_suffix(".later")
    replacement.write_text(text)
    with starting.file.open("w") as pipe:  # opens as soon as the process reads
        replacement.rename(starting.file)
        starting.process.send_signal(signal.SIGHUP)
        pipe.write(text)
    assert starting.process.stderr is not None
    log_text = ""
    for line in starting.process.stderr:
        log_text += line
        if "event=reloaded" in log_text and "event=listening" in log_text:  # the signal is not lost
            return
    raise AssertionError(log_text)


def test_sigterm_during_the_start_ends_the_process_cleanly(starting: Rig) -> None:
    with starting.file.open("w") as pipe:
        starting.process.send_signal(signal.SIGTERM)
        starting.process.send_signal(signal.SIGTERM)
        pipe.write(json.dumps(starting.config))
    assert starting.process.wait(20) == 0


@pytest.mark.parametrize("longest", [400.0, 1000.0, 3000.0, 8000.0])
def test_late_requests_are_answered_before_the_process_may_be_killed(longest: float) -> None:
    # Guards against unanswered requests at the kill, which with short deadlines follows earlier than 3.7 s.
    classes = [
        {**c, "giveUp": min(longest, 400.0) if k else longest} for k, c in enumerate(SETTINGS["classes"])
    ]
    settings, broker, unused = settings_from({**SETTINGS, "classes": classes}), Any, Any
    reactor = Reactor()
    checks = NodeChecks(lambda: True, lambda name: 0.0)
    lifecycle = Lifecycle()
    handler = RequestHandler(broker, unused, settings.classes, checks, lifecycle)
    listener = Listener(reactor, lambda: 5e6, unused, lifecycle, handler)  # type: ignore[arg-type]
    listener.stop()
    kill_time = min(longest, 3000.0) + 700.0  # PROTOCOL, 'Figures'
    assert broker.answer_deadline == 5e6 + answer_time_after_stop(longest) == 5e6 + kill_time - 200.0
    assert idle_connection_time_after_stop(longest) < answer_time_after_stop(longest)


def test_a_request_completed_late_in_the_shutdown_is_answered_in_time(tmp_path: Path) -> None:
    # Guards against the same on real connections, for a request with a much later deadline: its answer came
    # after 3.5 s.
    with running(tmp_path, done) as rig, Peer() as peer, rig.socket() as sock:
        classes = [{**c, "giveUp": 300.0} for c in SETTINGS["classes"]]
        rig.reload(json.dumps(rig.config | {"settings": {**SETTINGS, "classes": classes}}))
        rig.endpoints[0].server = peer  # type: ignore[assignment]
        rig.change(rig.endpoints[0], "up")
        head = b"POST /lookup HTTP/1.1\r\nX-Call-Id: a\r\nX-Budget-Ms: 60000\r\nContent-Length: 1\r\n\r\n"
        sock.sendall(head)
        wait_until(lambda: rig.submit("b", "/nothing")[0] == 404)
        stop_sent_at = time.monotonic()
        rig.terminate()
        rig.wait_for_log("event=stopping")
        sock.sendall(b"b")
        assert b"X-Call-Id: a" in peer.next_message()[1]  # the endpoint never answers
        assert message(sock).startswith(b"HTTP/1.1 500 ")
        assert time.monotonic() - stop_sent_at < 3.0  # due after 0.8 s
        assert rig.process.wait(20) == 0


def test_a_node_that_cannot_reach_discovery_shuts_down_cleanly(tmp_path: Path) -> None:
    with running(tmp_path, done) as rig, Peer() as peer:
        rig.reload(json.dumps(rig.config | {"discovery": peer.address}))
        peer.accept()  # and sends nothing
        rig.discovery.changes.put(None)
        assert rig.submit("a")[0] == 200
        rig.terminate()
        assert rig.process.wait(20) == 0


@pytest.mark.parametrize("turn", range(3))
def test_a_request_that_crosses_the_close_is_answered_or_not_forwarded(tmp_path: Path, turn: int) -> None:
    # Guards against forwarding the request and closing the connection without an answer.
    with running(tmp_path, done) as rig, rig.socket() as sock:
        sock.sendall(b"POST /lookup HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 0\r\n\r\n")
        assert message(sock).startswith(b"HTTP/1.1 200")
        rig.terminate()
        rig.wait_for_log("event=stopping")
        rig.process.send_signal(signal.SIGSTOP)
        time.sleep(0.2 * turn)  # before, at and after the timed check for idle connections
        sock.sendall(b"POST /lookup HTTP/1.1\r\nX-Call-Id: b\r\nContent-Length: 0\r\n\r\n")
        time.sleep(0.6)
        rig.process.send_signal(signal.SIGCONT)
        try:
            served = message(sock).startswith(b"HTTP/1.1 200")
        except ConnectionResetError:
            served = False
        assert rig.process.wait(20) == 0
        assert rig.posts == 1 + served
