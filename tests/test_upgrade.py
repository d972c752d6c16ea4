"""Upgrades with real processes: two processes share a socket, without effect on clients and workers."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from http.client import HTTPException
from pathlib import Path
from random import Random
from typing import Any

import pytest
from rig import Rig, accept, done, running, wait_until

from bitternpath.balancer.handover.messages import VERSION, Hello, encode_message


def start_clients(rig: Rig, pool: ThreadPoolExecutor) -> tuple[threading.Event, list[Future[list[Any]]]]:
    """Start four clients that send requests over keep-alive connections until the returned event is set.

    The futures return the status, or "broken", of each id.
    """
    stop = threading.Event()

    def send_requests(number: int) -> list[tuple[str, object]]:
        results: list[tuple[str, object]] = []
        connection = rig.open()
        while not stop.is_set():
            id = f"{number}-{len(results)}"
            try:
                connection.request("POST", "/reminder", id.encode(), {"X-Call-Id": id})
                answer = connection.getresponse()
                answer.read()
                results.append((id, answer.status))
            except (OSError, HTTPException):
                results.append((id, "broken"))
                connection.close()
        connection.close()
        return results

    return stop, [pool.submit(send_requests, number) for number in range(4)]


def test_callbacks_reach_the_process_that_owns_the_job(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(8) as pool:
        endpoint = rig.endpoints[0]
        jobs = [pool.submit(rig.submit, f"old{k}", "/reminder") for k in range(4)]
        wait_until(lambda: endpoint.posts == 4)
        older = rig.upgrade()
        jobs += [pool.submit(rig.submit, f"new{k}", "/reminder") for k in range(4)]
        wait_until(lambda: endpoint.posts == 8)
        older.send_signal(signal.SIGTERM)
        for k in range(4):
            for process_name in ("old", "new"):
                assert endpoint.send_callback(f"{process_name}{k}", "started") == 204
                assert (
                    endpoint.send_callback(f"{process_name}{k}", "done", result=f"{process_name}{k}") == 204
                )
                assert endpoint.send_callback(f"{process_name}{k}", "done", result="again") == 204
        answers = [job.result()[:2] for job in jobs]
        assert answers == [
            (200, f"{process_name}{k}".encode()) for process_name in ("old", "new") for k in range(4)
        ]
        assert older.wait(20) == 0 and endpoint.posts == 8
        assert (
            rig.call_console("GET", "/ops/readiness")[0] == 200 and rig.submit("after", "/nothing")[0] == 404
        )


def test_an_upgrade_under_load_breaks_no_connection(tmp_path: Path) -> None:
    with running(tmp_path, done, done, console=True) as rig, ThreadPoolExecutor(16) as pool:
        stop, jobs = start_clients(rig, pool)
        for turn in range(3):
            before = rig.posts
            wait_until(lambda before=before: rig.posts > before + 20)  # type: ignore[misc]
            rig.replace()
            rig.wait_for_log("event=predecessor_joined ", turn + 1)
        stop.set()
        results = [status for job in jobs for _, status in job.result()]
        assert set(results) == {200} and rig.posts == len(results)


def test_the_older_process_serves_on_if_the_newer_one_is_killed(tmp_path: Path) -> None:
    with running(tmp_path, done, console=True) as rig:
        older = rig.upgrade()
        rig.process.kill()
        rig.wait_for_log("event=successor_lost")
        for k in range(10):
            assert rig.submit(f"a{k}")[0] == 200
        assert older.poll() is None
        rig.upgrade()
        older.send_signal(signal.SIGTERM)
        assert older.wait(20) == 0 and rig.submit("b")[0] == 200


def test_the_newer_process_serves_on_if_the_older_one_is_killed(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(2) as pool:
        endpoint = rig.endpoints[0]
        lost = pool.submit(rig.submit, "lost", "/reminder")
        wait_until(lambda: endpoint.posts == 1)
        older = rig.upgrade()
        older.kill()
        older.wait(20)
        assert isinstance(lost.exception(), ConnectionError | OSError)
        assert endpoint.send_callback("lost", "done", result="r") == 204  # no client waits for it any more
        endpoint.behavior = done
        assert rig.submit("b")[0] == 200


def test_the_older_process_serves_on_if_the_newer_one_fails_to_start(
    tmp_path: Path,
) -> None:
    with running(tmp_path, done, console=True) as rig:
        older, good = rig.process, rig.file.read_text()
        rig.file.write_text(good[:100])
        assert rig.spawn().wait(20) == 2
        # The address of its console is in use: it logs one line and exits. Both processes share a log.
        rig.file.write_text(json.dumps({**rig.config, "listen": rig.address, "console": rig.console}))
        failed = rig.spawn()
        assert failed.wait(20) == 1 and failed.stderr is not None
        assert [line for line in failed.stderr.read().splitlines() if "event=start_failed" in line]
        # A successor joins, and its connection ends before it is ready.
        with socket.socket(socket.AF_UNIX) as incomplete:
            incomplete.connect(str(rig.tmp / "bitternpath-n0.sock"))
            incomplete.sendall(encode_message(Hello(VERSION, rig.address)))
            assert incomplete.recv(100)
            assert rig.submit("a")[0] == 200 and older.poll() is None
        assert rig.call_console("GET", "/ops/readiness")[0] == 200
        assert rig.submit("b")[0] == 200
        rig.replace()
        assert older.wait(20) == 0 and rig.submit("c")[0] == 200


@pytest.mark.parametrize("seed", range(4))
def test_killing_either_process_during_an_upgrade_runs_no_job_twice(tmp_path: Path, seed: int) -> None:
    random = Random(seed)
    with running(tmp_path, done, done, console=True) as rig, ThreadPoolExecutor(8) as pool:
        stop, jobs = start_clients(rig, pool)
        wait_until(lambda: rig.posts > 50)
        rig.file.write_text(json.dumps({**rig.config, "listen": rig.address}))
        older, newer = rig.process, rig.spawn()
        rig.previous_processes += [older, newer]
        victim, survivor = (older, newer) if seed % 2 else (newer, older)
        if random.random() < 0.5:
            wait_until(lambda: "event=successor_joined" in "".join(rig.log))
        time.sleep(random.random() * 0.1)
        victim.kill()
        victim.wait(20)
        before = rig.posts
        wait_until(lambda: rig.posts > before + 50)
        stop.set()
        answers = [answer for job in jobs for answer in job.result()]
        assert {status for _, status in answers} <= {200, "broken"} and survivor.poll() is None
        ran = [body for p in rig.endpoints for method, _, body in p.requests if method == "POST"]
        assert len(ran) == len(set(ran)) and {id.encode() for id, s in answers if s == 200} <= set(ran)


def test_sigterm_before_the_newer_process_listens_and_sighup_to_both(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(2) as pool:
        endpoint = rig.endpoints[0]
        job = pool.submit(rig.submit, "a", "/reminder")
        wait_until(lambda: endpoint.posts == 1)
        older = rig.process
        older.send_signal(signal.SIGTERM)
        rig.wait_for_log("event=stopping")
        rig.upgrade()
        for process in (older, rig.process):
            before = len(rig.logged("event=reloaded"))
            process.send_signal(signal.SIGHUP)
            rig.wait_for_log("event=reloaded", before + 1)
        assert endpoint.send_callback("a", "done", result="r") == 204
        assert job.result()[:2] == (200, b"r")
        assert older.wait(20) == 0
        endpoint.behavior = done
        assert rig.submit("b")[0] == 200


def test_an_id_in_progress_at_one_process_is_in_use_at_the_other(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(2) as pool:
        first = pool.submit(rig.submit, "same", "/reminder")
        wait_until(lambda: rig.endpoints[0].posts == 1)
        rig.upgrade()
        assert rig.submit("same", "/reminder")[0] == 409 and rig.endpoints[0].posts == 1
        rig.endpoints[0].send_callback("same", "done", result="r")
        assert first.result()[:2] == (200, b"r")


def test_an_invalid_socket_file_is_replaced_and_a_missing_directory_is_tolerated(tmp_path: Path) -> None:
    with running(tmp_path, done, console=True) as rig:
        upgrade_socket = rig.tmp / "bitternpath-n0.sock"
        upgrade_socket.unlink()
        upgrade_socket.write_text("rubbish")
        rig.replace(joins=False)  # finds no predecessor, and listens beside it
        assert (
            rig.logged("event=predecessor_not_found")
            and upgrade_socket.is_socket()
            and rig.submit("a")[0] == 200
        )
        rig.tmp.rename(tmp_path / "away")
        rig.replace(joins=False)
        assert rig.submit("b")[0] == 200
