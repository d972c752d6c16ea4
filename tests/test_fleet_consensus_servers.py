"""Consensus servers as real processes: killed, stalled, with disk faults and misbehaving clients."""

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
from fleet_rig import ROOT, running_fleet, wait_until

from bitternpath.balancer.fleet import client
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.store import DamagedError, Store, StoreError
from bitternpath.replication.records import Entry, Members, PersistentState, Snapshot, StorageWrite


def test_committed_changes_survive_restarts_and_are_committed_once(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3) as fleet:
        fleet.start()
        assert fleet.change("a", p.EjectWorker("w1")) == 1
        leader = fleet.leader()
        leader.kill()
        # A client that got no reply retries with the same id: this must not commit a second change.
        assert fleet.change("a", p.EjectWorker("w1")) == 1
        assert fleet.change("b", p.SetClass("lookup", {"aim": 90.0})) == 2
        assert fleet.leader() is not leader
        leader.start()
        for server in fleet.servers.values():
            server.kill()
        for server in fleet.servers.values():
            server.start()
        found = fleet.status()
        assert found["latest"] == 2 and found["plan"]["bans"] == {"w1": 1}
        assert fleet.change("b", p.SetClass("lookup", {"aim": 90.0})) == 2
        refused = fleet.send(m.Propose("c", "test", "", p.EjectWorker("w1")))
        assert not refused.ok and refused.text == "w1: is banned already"


def test_a_leader_resumed_after_a_stall_commits_nothing_on_its_own(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3) as fleet:
        fleet.start()
        old = fleet.leader()
        old.send_signal(signal.SIGSTOP)
        others = {name: at for name, at in fleet.server_addresses.items() if name != old.name}
        reply = client.send_command(others, m.Propose("a", "test", "", p.EjectWorker("w1")), "test", 30.0)
        assert reply.ok
        # A command sent during the stall waits in socket buffers; the resumed old leader must refuse it.
        with socket.create_connection(fleet.server_addresses[old.name]) as connection:
            hello = m.Hello(m.PROTOCOL_VERSION, "", "command", "test")
            connection.sendall(
                m.encode_frame(hello)
                + m.encode_frame(m.CommandRequest(1, m.Propose("b", "test", "", p.EjectWorker("w1"))))
            )
            old.send_signal(signal.SIGCONT)
            decoder, messages = m.FrameDecoder(), list[m.FleetMessage]()
            connection.settimeout(30)
            while not any(isinstance(each, m.CommandReply) for each in messages):
                messages += decoder.feed(connection.recv(65536))
        (reply,) = [each for each in messages if isinstance(each, m.CommandReply)]
        assert not reply.ok
        assert fleet.status()["latest"] == 1


def test_without_a_majority_nothing_is_committed_and_the_status_shows_its_age(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.change("a", p.EjectWorker("w1"))
        wait_until(lambda: fleet.known_by("S2")["released"] == 1)
        fleet.servers["S1"].kill()
        fleet.servers["S3"].send_signal(signal.SIGSTOP)
        env = {"BITTERNPATH_FLEET_STEWARDS": fleet.addresses, "PATH": "/usr/bin", "HOME": "/"}

        def command(*arguments: str) -> subprocess.CompletedProcess[str]:
            run = [
                sys.executable,
                "-m",
                "bitternpath",
                "fleet",
                *arguments,
                "--within",
                "1",
                "--author",
                "ana",
            ]
            return subprocess.run(run, cwd=ROOT, env=env, capture_output=True, text=True, check=False)

        wait_until(lambda: not fleet.known_by("S2")["leader"])
        shown = command("status")
        assert shown.returncode == 1 and shown.stdout.startswith("NO MAJORITY: what follows is what S2.")
        assert "version 1 released" in shown.stdout
        refused = command("ban", "w2", "--reason", "no majority")
        assert refused.returncode == 1 and refused.stderr.startswith(
            "Error: no consensus server with a majority answers"
        )
        fleet.servers["S3"].send_signal(signal.SIGCONT)
        assert fleet.change("b", p.EjectWorker("w3")) == 2


def test_a_server_that_lost_its_disk_joins_as_a_new_member(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.change("a", p.EjectWorker("w1"))
        lost = fleet.servers["S2"]
        before = next(id for id in fleet.status()["voters"] if id.startswith("S2."))
        lost.kill()
        shutil.rmtree(lost.folder)
        lost.start()
        wait_until(lambda: lost.has_logged("event=not_a_fleet_member"))
        assert before in fleet.status()["voters"]
        assert fleet.send(m.ChangeMembers(remove="S2")).ok
        wait_until(lambda: fleet.send(m.ChangeMembers(add="S2")).ok)
        wait_until(lambda: len(fleet.status()["voters"]) == 3)
        assert before not in fleet.status()["voters"]
        fleet.servers["S1"].kill()
        assert fleet.change("b", p.EjectWorker("w2")) == 2  # needs the vote of the new member


def test_a_damaged_folder_is_quarantined_unless_it_is_the_only_copy(tmp_path: Path) -> None:
    def damage(folder: Path) -> None:
        with lmdb.open(str(folder), max_dbs=2, lock=False) as env, env.begin(write=True) as transaction:
            log = env.open_db(b"log", txn=transaction)
            key, value = next(iter(transaction.cursor(db=log)))
            transaction.put(key, value[:-1] + bytes([value[-1] ^ 1]), db=log)

    with running_fleet(tmp_path, 3) as fleet:
        fleet.start()
        fleet.change("a", p.EjectWorker("w1"))
        damaged = fleet.servers["S3"]
        damaged.kill()
        damage(damaged.folder)
        damaged.start()
        wait_until(lambda: damaged.has_logged("event=record_quarantined"))
        assert list(tmp_path.glob("S3.damaged-*"))
        assert fleet.change("b", p.EjectWorker("w2")) == 2
    with running_fleet(tmp_path / "one", 1) as fleet:
        (only,) = fleet.servers.values()
        fleet.start()
        fleet.change("a", p.EjectWorker("w1"))
        only.kill()
        damage(only.folder)
        only.start()
        assert only.wait_exit_code() == 2 and only.has_logged("it is the fleet's only copy")


def test_a_folder_serves_one_server_on_one_disk(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 2) as fleet:
        first, second = fleet.servers.values()
        first.start(found=True)
        wait_until(lambda: first.has_logged("event=listening"))
        second.folder = first.folder
        second.start()
        assert second.wait_exit_code() == 2 and second.has_logged("another server runs on this folder")
        first.kill()
        second.folder = tmp_path / "copy"
        shutil.copytree(first.folder, second.folder)
        second.start()
        assert second.wait_exit_code() == 2 and second.has_logged("is the folder of S1, not of S2")
        second.name = "S1"
        second.start()
        assert second.wait_exit_code() == 2 and second.has_logged("a copy of another folder")


def test_a_server_with_a_full_disk_exits_and_the_others_continue(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3) as fleet:
        fleet.start()
        full = fleet.servers["S3"]
        full.kill()
        blocks = (full.folder / "data.mdb").stat().st_size // 1024
        full.start(ulimit=f"-f {blocks + 8}")
        for k in range(300):
            fleet.change(f"c{k}", p.SetClass("lookup", {"aim": 1.0 + k}))
            if full.process.poll() is not None:
                break
        assert full.wait_exit_code() == 1 and full.has_logged("event=record_write_failed")
        again = fleet.change("after", p.EjectWorker("w1"))
        full.start()
        wait_until(lambda: fleet.status()["latest"] == again)


def test_misbehaving_clients_do_not_affect_others(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 1) as fleet:
        fleet.start()
        at = fleet.server_addresses["S1"]
        never_reads = socket.create_connection(at)
        never_reads.sendall(m.encode_frame(m.Hello(m.PROTOCOL_VERSION, "", "command", "x")))
        query = m.encode_frame(m.CommandRequest(1, m.Query("status", stale=True)))
        for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\x00\x00\x00\x01\xc0", query):
            with socket.create_connection(at) as damaged, contextlib.suppress(ConnectionResetError):
                damaged.sendall(garbage)
                damaged.settimeout(30)
                while damaged.recv(65536):
                    pass
        with socket.create_connection(at) as newer:
            newer.sendall(m.encode_frame(m.Hello(m.PROTOCOL_VERSION + 1, "", "agent", "n1#b")))
            newer.settimeout(30)
            decoder, messages = m.FrameDecoder(), list[m.FleetMessage]()
            while not any(isinstance(each, m.Refused) for each in messages):
                messages += decoder.feed(newer.recv(65536))
        never_reads.settimeout(30)
        with contextlib.suppress(ConnectionError):
            while True:  # until the server aborts the connection
                never_reads.sendall(query * 1000)
        assert fleet.change("a", p.EjectWorker("w1")) == 1
        assert fleet.servers["S1"].has_logged("has not read")


def test_the_earlier_command_name_is_a_hidden_alias_with_a_notice() -> None:
    def run(*arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "bitternpath", *arguments]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)

    current, earlier = run("consensus-server", "--help"), run("steward", "--help")
    assert current.returncode == earlier.returncode == 0
    assert current.stdout == earlier.stdout and not current.stderr
    assert earlier.stderr == "bitternpath steward: the command is now called consensus-server\n"
    assert "steward" not in run("--help").stdout


# ---- the store


def test_a_store_returns_what_was_written_and_reports_what_is_missing(tmp_path: Path) -> None:
    store = Store(tmp_path / "s", "S1")
    entries = tuple(Entry(k, 1, 1, b"x" * k) for k in range(1, 9))
    store.write([StorageWrite(1, 1, "S1", None, entries, None, (0, 0))], 1)
    again = (Entry(6, 2, 1, b"y"),)
    store.write([StorageWrite(2, 2, "", 6, again, None, (0, 0))], 1)
    snapshot = Snapshot(4, 1, Members(("S1",)), b"state")
    store.write([StorageWrite(3, 2, "", None, (), snapshot, (2, 1))], 3)
    store.close()
    store = Store(tmp_path / "s", "S1")
    state = store.read()
    assert (
        state == PersistentState(2, "", snapshot, (2, 1), [*entries[2:5], *again]) and store.state.voters == 3
    )
    with store._env.begin(write=True) as transaction:
        transaction.delete((4).to_bytes(8, "big"), db=store._log)
    with pytest.raises(DamagedError, match="entry 4 is missing"):
        store.read()
    store.close()
    with pytest.raises(StoreError, match="is the folder of S1, not of S2"):
        Store(tmp_path / "s", "S2")


def test_the_status_reply_is_plain_data() -> None:
    """A command of another release must be able to show it."""
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(p.Record()))["released"]["version"] == 0
