"""Stewards as real processes: killed, stalled, with bad disks and bad callers."""

from __future__ import annotations

import contextlib
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

import lmdb
import msgspec
import pytest
from fleet_rig import ROOT, fleet, until

from bitternpath.balancer.fleet import client
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.store import DamagedError, Store, StoreError
from bitternpath.replication.records import Entry, Members, PersistentState, Snapshot, StorageWrite


def test_what_was_agreed_survives_the_leader_and_all_of_them_and_is_one_change(tmp_path: Path) -> None:
    with fleet(tmp_path, 3) as made:
        made.start()
        assert made.change("a", p.EjectWorker("w1")) == 1
        leader = made.leader()
        leader.kill()
        # The command did not hear, and asks again with the same id: one change.
        assert made.change("a", p.EjectWorker("w1")) == 1
        assert made.change("b", p.SetClass("lookup", {"aim": 90.0})) == 2
        assert made.leader() is not leader
        leader.start()
        for steward in made.stewards.values():
            steward.kill()
        for steward in made.stewards.values():
            steward.start()
        found = made.status()
        assert found["latest"] == 2 and found["plan"]["bans"] == {"w1": 1}
        assert made.change("b", p.SetClass("lookup", {"aim": 90.0})) == 2
        refused = made.ask(m.Propose("c", "test", "", p.EjectWorker("w1")))
        assert not refused.ok and refused.text == "w1: is banned already"


def test_a_leader_that_was_stalled_answers_nothing_of_its_own_when_it_wakes(tmp_path: Path) -> None:
    with fleet(tmp_path, 3) as made:
        made.start()
        old = made.leader()
        old.send(signal.SIGSTOP)
        others = {name: at for name, at in made.at.items() if name != old.name}
        answer = client.send_command(others, m.Propose("a", "test", "", p.EjectWorker("w1")), "test", 30.0)
        assert answer.ok
        # What is asked of it while it sleeps lies in its buffers, and is answered when it wakes: with a no.
        with socket.create_connection(made.at[old.name]) as asleep:
            hello = m.Hello(m.PROTOCOL_VERSION, "", "command", "test")
            asleep.sendall(
                m.encode_frame(hello)
                + m.encode_frame(m.CommandRequest(1, m.Propose("b", "test", "", p.EjectWorker("w1"))))
            )
            old.send(signal.SIGCONT)
            frames, said = m.FrameDecoder(), list[m.FleetMessage]()
            asleep.settimeout(30)
            while not any(isinstance(each, m.CommandReply) for each in said):
                said += frames.feed(asleep.recv(65536))
        (answer,) = [each for each in said if isinstance(each, m.CommandReply)]
        assert not answer.ok
        assert made.status()["latest"] == 1


def test_without_a_majority_nothing_is_agreed_and_what_is_known_is_shown_with_its_age(tmp_path: Path) -> None:
    with fleet(tmp_path, 3) as made:
        made.start()
        made.change("a", p.EjectWorker("w1"))
        until(lambda: made.known("S2")["released"] == 1)
        made.stewards["S1"].kill()
        made.stewards["S3"].send(signal.SIGSTOP)
        env = {"BITTERNPATH_FLEET_STEWARDS": made.addresses, "PATH": "/usr/bin", "HOME": "/"}

        def command(*words: str) -> subprocess.CompletedProcess[str]:
            run = [sys.executable, "-m", "bitternpath", "fleet", *words, "--within", "1", "--author", "ana"]
            return subprocess.run(run, cwd=ROOT, env=env, capture_output=True, text=True, check=False)

        until(lambda: not made.known("S2")["leader"])
        shown = command("status")
        assert shown.returncode == 1 and shown.stdout.startswith("NO MAJORITY: what follows is what S2.")
        assert "version 1 released" in shown.stdout
        refused = command("ban", "w2", "--reason", "no majority")
        assert refused.returncode == 1 and refused.stderr.startswith(
            "Error: no consensus server with a majority answers"
        )
        made.stewards["S3"].send(signal.SIGCONT)
        assert made.change("b", p.EjectWorker("w3")) == 2


def test_a_steward_that_lost_its_disk_joins_as_a_new_one(tmp_path: Path) -> None:
    with fleet(tmp_path, 3) as made:
        made.start()
        made.change("a", p.EjectWorker("w1"))
        lost = made.stewards["S2"]
        before = next(id for id in made.status()["voters"] if id.startswith("S2."))
        lost.kill()
        shutil.rmtree(lost.folder)
        lost.start()
        until(lambda: lost.says("event=not_a_fleet_member"))
        assert before in made.status()["voters"]
        assert made.ask(m.ChangeMembers(remove="S2")).ok
        until(lambda: made.ask(m.ChangeMembers(add="S2")).ok)
        until(lambda: len(made.status()["voters"]) == 3)
        assert before not in made.status()["voters"]
        made.stewards["S1"].kill()
        assert made.change("b", p.EjectWorker("w2")) == 2  # with the new one's vote


def test_a_damaged_log_is_set_aside_and_the_only_copy_is_not_started(tmp_path: Path) -> None:
    def damage(folder: Path) -> None:
        with lmdb.open(str(folder), max_dbs=2, lock=False) as env, env.begin(write=True) as writing:
            log = env.open_db(b"log", txn=writing)
            key, value = next(iter(writing.cursor(db=log)))
            writing.put(key, value[:-1] + bytes([value[-1] ^ 1]), db=log)

    with fleet(tmp_path, 3) as made:
        made.start()
        made.change("a", p.EjectWorker("w1"))
        bad = made.stewards["S3"]
        bad.kill()
        damage(bad.folder)
        bad.start()
        until(lambda: bad.says("event=record_quarantined"))
        assert list(tmp_path.glob("S3.damaged-*"))
        assert made.change("b", p.EjectWorker("w2")) == 2
    with fleet(tmp_path / "one", 1) as alone:
        (only,) = alone.stewards.values()
        alone.start()
        alone.change("a", p.EjectWorker("w1"))
        only.kill()
        damage(only.folder)
        only.start()
        assert only.ended() == 2 and only.says("it is the fleet's only copy")


def test_one_folder_serves_one_steward_on_one_disk(tmp_path: Path) -> None:
    with fleet(tmp_path, 2) as made:
        first, second = made.stewards.values()
        first.start(found=True)
        until(lambda: first.says("event=listening"))
        second.folder = first.folder
        second.start()
        assert second.ended() == 2 and second.says("another server runs on this folder")
        first.kill()
        second.folder = tmp_path / "copy"
        shutil.copytree(first.folder, second.folder)
        second.start()
        assert second.ended() == 2 and second.says("is the folder of S1, not of S2")
        second.name = "S1"
        second.start()
        assert second.ended() == 2 and second.says("a copy of another folder")


def test_a_steward_whose_disk_is_full_ends_and_the_others_go_on(tmp_path: Path) -> None:
    with fleet(tmp_path, 3) as made:
        made.start()
        full = made.stewards["S3"]
        full.kill()
        blocks = (full.folder / "data.mdb").stat().st_size // 1024
        full.start(limit=f"-f {blocks + 8}")
        for k in range(300):
            made.change(f"c{k}", p.SetClass("lookup", {"aim": 1.0 + k}))
            if full.process.poll() is not None:
                break
        assert full.ended() == 1 and full.says("event=record_write_failed")
        again = made.change("after", p.EjectWorker("w1"))
        full.start()
        until(lambda: made.status()["latest"] == again)


def test_bad_callers_cost_nobody_else_anything(tmp_path: Path) -> None:
    with fleet(tmp_path, 1) as made:
        made.start()
        at = made.at["S1"]
        never_reads = socket.create_connection(at)
        never_reads.sendall(m.encode_frame(m.Hello(m.PROTOCOL_VERSION, "", "command", "x")))
        look = m.encode_frame(m.CommandRequest(1, m.Query("status", stale=True)))
        for rubbish in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\x00\x00\x00\x01\xc0", look):
            with socket.create_connection(at) as bad, contextlib.suppress(ConnectionResetError):
                bad.sendall(rubbish)
                bad.settimeout(30)
                while bad.recv(65536):
                    pass
        with socket.create_connection(at) as newer:
            newer.sendall(m.encode_frame(m.Hello(m.PROTOCOL_VERSION + 1, "", "agent", "n1#b")))
            newer.settimeout(30)
            frames, said = m.FrameDecoder(), list[m.FleetMessage]()
            while not any(isinstance(each, m.Refused) for each in said):
                said += frames.feed(newer.recv(65536))
        never_reads.settimeout(30)
        with contextlib.suppress(ConnectionError):
            while True:  # until it is given up
                never_reads.sendall(look * 1000)
        assert made.change("a", p.EjectWorker("w1")) == 1
        assert made.stewards["S1"].says("has not read")


def test_the_earlier_command_name_is_a_hidden_alias_with_a_notice() -> None:
    def run(*words: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "bitternpath", *words]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)

    current, earlier = run("consensus-server", "--help"), run("steward", "--help")
    assert current.returncode == earlier.returncode == 0
    assert current.stdout == earlier.stdout and not current.stderr
    assert earlier.stderr == "bitternpath steward: the command is now called consensus-server\n"
    assert "steward" not in run("--help").stdout


# ---- the store alone


def test_a_store_gives_back_what_was_written_and_tells_what_is_missing(tmp_path: Path) -> None:
    store = Store(tmp_path / "s", "S1")
    entries = tuple(Entry(k, 1, 1, b"x" * k) for k in range(1, 9))
    store.write([StorageWrite(1, 1, "S1", None, entries, None, (0, 0))], 1)
    again = (Entry(6, 2, 1, b"y"),)
    store.write([StorageWrite(2, 2, "", 6, again, None, (0, 0))], 1)
    snapshot = Snapshot(4, 1, Members(("S1",)), b"state")
    store.write([StorageWrite(3, 2, "", None, (), snapshot, (2, 1))], 3)
    store.close()
    store = Store(tmp_path / "s", "S1")
    kept = store.read()
    assert (
        kept == PersistentState(2, "", snapshot, (2, 1), [*entries[2:5], *again]) and store.state.voters == 3
    )
    with store._env.begin(write=True) as writing:
        writing.delete((4).to_bytes(8, "big"), db=store._log)
    with pytest.raises(DamagedError, match="entry 4 is missing"):
        store.read()
    store.close()
    with pytest.raises(StoreError, match="is the folder of S1, not of S2"):
        Store(tmp_path / "s", "S2")


def test_the_answer_of_status_is_plain_data() -> None:
    """So that another release's command can show it."""
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(p.Record()))["released"]["version"] == 0
