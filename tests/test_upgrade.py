"""An upgrade with real processes: one socket, two processes, clients and workers that notice nothing."""

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
from rig import Rig, accept, done, running, until

from bitternpath.balancer.handover.messages import VERSION, Hello, line


def clients(rig: Rig, pool: ThreadPoolExecutor) -> tuple[threading.Event, list[Future[list[Any]]]]:
    """Four that ask until they are told to end, on connections kept for as long as the node lets them; what
    became of each id."""
    over = threading.Event()

    def ask(number: int) -> list[tuple[str, object]]:
        got: list[tuple[str, object]] = []
        connection = rig.open()
        while not over.is_set():
            id = f"{number}-{len(got)}"
            try:
                connection.request("POST", "/reminder", id.encode(), {"X-Call-Id": id})
                answer = connection.getresponse()
                answer.read()
                got.append((id, answer.status))
            except (OSError, HTTPException):
                got.append((id, "broken"))
                connection.close()
        connection.close()
        return got

    return over, [pool.submit(ask, number) for number in range(4)]


def test_call_backs_of_the_older_process_reach_it_and_each_job_is_answered_once(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(8) as pool:
        endpoint = rig.endpoints[0]
        jobs = [pool.submit(rig.submit, f"old{k}", "/reminder") for k in range(4)]
        until(lambda: endpoint.posts == 4)
        older = rig.upgrade()
        jobs += [pool.submit(rig.submit, f"new{k}", "/reminder") for k in range(4)]
        until(lambda: endpoint.posts == 8)
        older.send_signal(signal.SIGTERM)
        for k in range(4):
            for which in ("old", "new"):
                assert endpoint.tell(f"{which}{k}", "started") == 204
                assert endpoint.tell(f"{which}{k}", "done", result=f"{which}{k}") == 204
                assert endpoint.tell(f"{which}{k}", "done", result="again") == 204
        answers = [job.result()[:2] for job in jobs]
        assert answers == [(200, f"{w}{k}".encode()) for w in ("old", "new") for k in range(4)]
        assert older.wait(20) == 0 and endpoint.posts == 8
        assert rig.operate("GET", "/ops/readiness")[0] == 200 and rig.submit("after", "/nothing")[0] == 404


def test_an_upgrade_under_load_costs_no_client_a_connection(tmp_path: Path) -> None:
    with running(tmp_path, done, done, console=True) as rig, ThreadPoolExecutor(16) as pool:
        over, jobs = clients(rig, pool)
        for turn in range(3):
            before = rig.posts
            until(lambda before=before: rig.posts > before + 20)  # type: ignore[misc]
            rig.replace()
            rig.says("event=predecessor_joined ", turn + 1)
        over.set()
        got = [status for job in jobs for _, status in job.result()]
        assert set(got) == {200} and rig.posts == len(got)


def test_a_newer_process_that_is_killed_leaves_the_older_one_serving(tmp_path: Path) -> None:
    with running(tmp_path, done, console=True) as rig:
        older = rig.upgrade()
        rig.process.kill()
        rig.says("event=successor_lost")
        for k in range(10):
            assert rig.submit(f"a{k}")[0] == 200
        assert older.poll() is None
        rig.upgrade()
        older.send_signal(signal.SIGTERM)
        assert older.wait(20) == 0 and rig.submit("b")[0] == 200


def test_an_older_process_that_is_killed_leaves_the_whole_to_the_newer_one(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(2) as pool:
        endpoint = rig.endpoints[0]
        lost = pool.submit(rig.submit, "lost", "/reminder")
        until(lambda: endpoint.posts == 1)
        older = rig.upgrade()
        older.kill()
        older.wait(20)
        assert isinstance(lost.exception(), ConnectionError | OSError)
        assert endpoint.tell("lost", "done", result="r") == 204  # nobody waits for it
        endpoint.does = done
        assert rig.submit("b")[0] == 200


def test_a_newer_process_that_cannot_start_or_never_gets_ready_leaves_the_older_one_serving(
    tmp_path: Path,
) -> None:
    with running(tmp_path, done, console=True) as rig:
        older, good = rig.process, rig.file.read_text()
        rig.file.write_text(good[:100])
        assert rig.spawn().wait(20) == 2
        # Its console's address is taken: one line, and the end. The log of both is one.
        rig.file.write_text(json.dumps({**rig.conf, "listen": rig.address, "console": rig.console}))
        failed = rig.spawn()
        assert failed.wait(20) == 1 and failed.stderr is not None
        assert [line for line in failed.stderr.read().splitlines() if "event=start_failed" in line]
        # It joins, is stopped from outside before it is ready, and is killed.
        with socket.socket(socket.AF_UNIX) as half:
            half.connect(str(rig.tmp / "bitternpath-n0.sock"))
            half.sendall(line(Hello(VERSION, rig.address)))
            assert half.recv(100)
            assert rig.submit("a")[0] == 200 and older.poll() is None
        assert rig.operate("GET", "/ops/readiness")[0] == 200
        assert rig.submit("b")[0] == 200
        rig.replace()
        assert older.wait(20) == 0 and rig.submit("c")[0] == 200


@pytest.mark.parametrize("seed", range(4))
def test_a_kill_of_either_process_in_the_overlap_runs_nothing_twice(tmp_path: Path, seed: int) -> None:
    random = Random(seed)
    with running(tmp_path, done, done, console=True) as rig, ThreadPoolExecutor(8) as pool:
        over, jobs = clients(rig, pool)
        until(lambda: rig.posts > 50)
        rig.file.write_text(json.dumps({**rig.conf, "listen": rig.address}))
        older, newer = rig.process, rig.spawn()
        rig.older += [older, newer]
        victim, left = (older, newer) if seed % 2 else (newer, older)
        if random.random() < 0.5:
            until(lambda: "event=successor_joined" in "".join(rig.log))
        time.sleep(random.random() * 0.1)
        victim.kill()
        victim.wait(20)
        before = rig.posts
        until(lambda: rig.posts > before + 50)
        over.set()
        answers = [answer for job in jobs for answer in job.result()]
        assert {status for _, status in answers} <= {200, "broken"} and left.poll() is None
        ran = [body for p in rig.endpoints for method, _, body in p.got if method == "POST"]
        assert len(ran) == len(set(ran)) and {id.encode() for id, s in answers if s == 200} <= set(ran)


def test_sigterm_before_the_newer_process_listens_and_sighup_to_either(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(2) as pool:
        endpoint = rig.endpoints[0]
        job = pool.submit(rig.submit, "a", "/reminder")
        until(lambda: endpoint.posts == 1)
        older = rig.process
        older.send_signal(signal.SIGTERM)
        rig.says("event=stopping")
        rig.upgrade()
        for process in (older, rig.process):
            before = len(rig.logged("event=reloaded"))
            process.send_signal(signal.SIGHUP)
            rig.says("event=reloaded", before + 1)
        assert endpoint.tell("a", "done", result="r") == 204
        assert job.result()[:2] == (200, b"r")
        assert older.wait(20) == 0
        endpoint.does = done
        assert rig.submit("b")[0] == 200


def test_an_id_under_way_at_one_process_is_in_use_at_the_other(tmp_path: Path) -> None:
    with running(tmp_path, accept, console=True) as rig, ThreadPoolExecutor(2) as pool:
        first = pool.submit(rig.submit, "same", "/reminder")
        until(lambda: rig.endpoints[0].posts == 1)
        rig.upgrade()
        assert rig.submit("same", "/reminder")[0] == 409 and rig.endpoints[0].posts == 1
        rig.endpoints[0].tell("same", "done", result="r")
        assert first.result()[:2] == (200, b"r")


def test_rubbish_in_the_folder_is_replaced_and_a_node_without_a_folder_serves_alone(tmp_path: Path) -> None:
    with running(tmp_path, done, console=True) as rig:
        upgrade_socket = rig.tmp / "bitternpath-n0.sock"
        upgrade_socket.unlink()
        upgrade_socket.write_text("rubbish")
        rig.replace(joins=False)  # finds nobody, and listens beside the older one
        assert (
            rig.logged("event=predecessor_not_found")
            and upgrade_socket.is_socket()
            and rig.submit("a")[0] == 200
        )
        rig.tmp.rename(tmp_path / "away")
        rig.replace(joins=False)
        assert rig.submit("b")[0] == 200
