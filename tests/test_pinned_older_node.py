"""Files of the older node, as 6e92cd6 wrote them, are read and written the same by this revision."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import lmdb
import msgspec
import pytest
from blake3 import blake3

from tests.system.pinned import program
from tests.system.pinned.samples import field_values
from tests.system.pinned.write_older_node import FILE, STEWARD, VOTERS, leaves, node_config, read_all

PINNED: dict[str, Any] = json.loads(FILE.read_text("utf-8"))
ROOT = Path(__file__).resolve().parent.parent
SUM = 8  # bytes of the checksum before each value
STATE, SNAPSHOT = b"state", b"snapshot"
CHANGE = 1  # kind of an entry that changes the record

OPERATOR_SETTINGS = [
    "log.level",
    "log.format",
    "log.per_second",
    "amqp.listen",
    "amqp.vhosts",
    "amqp.users",
    "amqp.requeue_unstarted",
    "amqp.heartbeat",
    "amqp.max_connections",
    "amqp.max_waiting",
    "amqp.publisher_waiting",
    "amqp.channel_max",
    "amqp.frame_max",
    "amqp.prefetch_cap",
    "amqp.subscribers",
    "amqp.reply_queues",
    "amqp.reply_queue_bytes",
    "amqp.unread_bytes",
    "fleet.name",
    "fleet.listen",
    "fleet.folder",
    "fleet.stewards",
    "fleet.site",
    "fleet.lease",
    "fleet.catch_up",
    "fleet.drift",
    "fleet.alone",
]


def opened(sealed: str) -> Any:
    """A value behind its checksum, as plain data."""
    data = bytes.fromhex(sealed)
    assert blake3(data[SUM:]).digest(SUM) == data[:SUM]
    return msgspec.msgpack.decode(data[SUM:])


def sealed(value: Any) -> bytes:
    data = msgspec.msgpack.encode(value)
    return blake3(data).digest(SUM) + data


def pinned_state() -> Any:
    return opened(PINNED["steward"]["meta"][STATE.hex()])


@pytest.fixture
def steward(tmp_path: Path) -> Path:
    """A steward's folder with the pinned keys and values; only the file's inode is that of the new file."""
    environment = lmdb.open(str(tmp_path), max_dbs=2, lock=False)
    file = (tmp_path / "data.mdb").stat()
    for name, values in PINNED["steward"].items():
        table = environment.open_db(name.encode())
        with environment.begin(write=True, db=table) as writing:
            for key, value in values.items():
                writing.put(bytes.fromhex(key), bytes.fromhex(value))
            if name == "meta":
                writing.put(STATE, sealed({**pinned_state(), "file": [file.st_dev, file.st_ino]}))
    environment.close()
    return tmp_path


def record_of(kept: Any) -> Any:
    """The fleet's record from what a steward's disk holds: its snapshot, and the entries after that."""
    _, _, snapshot, _, entries = field_values(kept)
    index, _, _, data = field_values(snapshot)
    record = program.fleet_record_from(data)
    for entry in entries:
        place, _, kind, change = field_values(entry)
        if place > index and kind == CHANGE:
            record.apply(place, program.fleet_item_from(change))
    return record


def test_a_steward_reads_its_record(steward: Path) -> None:
    store = program.StewardStore(steward, STEWARD)
    kept = store.read()
    store.close()
    term, vote, snapshot, before, entries = field_values(kept)
    assert (term, vote, before) == (3, STEWARD, (12, 2))
    assert field_values(snapshot)[:2] == [12, 2]
    assert [field_values(entry)[0] for entry in entries] == list(range(13, 25))
    record = record_of(kept)
    assert program.fleet_record_bytes(record).hex() == PINNED["record"]
    found = msgspec.msgpack.decode(program.fleet_record_bytes(record), strict=False)
    assert set(found) == {
        "fleet", "terms", "released", "latest", "changes", "release_times", "holders", "ids", "accounts"
    }  # fmt: skip
    assert found["released"]["bans"] == {"worker-1": 4}


def test_a_steward_is_the_member_that_it_was(steward: Path) -> None:
    store = program.StewardStore(steward, STEWARD)
    assert store.me == f"{STEWARD}.{pinned_state()['incarnation']}"
    store.close()


def test_a_steward_writes_the_same_values(tmp_path: Path) -> None:
    log = [program.LogEntry(*opened(value)) for value in PINNED["steward"]["log"].values()]
    index, term, members, data = opened(PINNED["steward"]["meta"][SNAPSHOT.hex()])
    voters, learners, generation = members
    snapshot = program.LogSnapshot(
        index, term, program.LogMembers(tuple(voters), tuple(learners), generation), data
    )
    store = program.StewardStore(tmp_path, STEWARD)
    store.write([program.LogWrite(1, 3, STEWARD, None, tuple(log), snapshot, (index, term))], VOTERS)
    store.close()
    written = read_all(tmp_path)
    assert written["log"] == PINNED["steward"]["log"]
    assert written["meta"].keys() == PINNED["steward"]["meta"].keys()
    assert written["meta"][SNAPSHOT.hex()] == PINNED["steward"]["meta"][SNAPSHOT.hex()]
    state, before = opened(written["meta"][STATE.hex()]), pinned_state()
    for own in ("incarnation", "file"):
        assert type(state.pop(own)) is type(before.pop(own))
    assert state == before


class Reactor:
    """What a node's folder wants of one: calls from threads, and what is to be done at the end."""

    def __init__(self) -> None:
        self.calls: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.stops: list[Callable[[], None]] = []

    def callFromThread(self, what: Callable[..., Any], *arguments: Any) -> None:
        self.calls.append((what, arguments))

    def addSystemEventTrigger(self, phase: str, event: str, what: Callable[[], None]) -> None:
        self.stops.append(what)

    def stop(self) -> None:
        """Wait for the threads, and do what they asked for."""
        while self.stops:
            self.stops.pop()()


@pytest.fixture
def reactor() -> Iterator[Reactor]:
    made = Reactor()
    yield made
    made.stop()


def pinned_lines() -> list[Any]:
    return [msgspec.json.decode(line, type=program.AuditLine) for line in PINNED["acts-boot-1"].splitlines()]


def test_a_node_reads_what_its_earlier_process_did_and_acted_on(tmp_path: Path, reactor: Reactor) -> None:
    (tmp_path / "acts-boot-1").write_text(PINNED["acts-boot-1"], "utf-8")
    (tmp_path / "plan").write_bytes(bytes.fromhex(PINNED["plan"]))
    folder = program.NodeFolder(reactor, tmp_path, "boot-2", lambda _: None)
    (ledger,) = folder.older()
    assert (ledger.boot, ledger.ended, ledger.number) == ("boot-1", True, 3)
    assert [field_values(line)[2] for line in pinned_lines()] == ["joined", "acts", "lost"]
    plan = folder.plan()
    assert msgspec.msgpack.encode(plan).hex() == PINNED["plan"]
    assert field_values(plan)[0] == 7


def test_a_node_writes_the_same_files(tmp_path: Path, reactor: Reactor) -> None:
    plan = msgspec.msgpack.decode(bytes.fromhex(PINNED["plan"]), type=program.FleetPlan)
    folder = program.NodeFolder(reactor, tmp_path, "boot-1", lambda _: None)
    folder.write(pinned_lines(), plan)
    reactor.stop()  # waits for the thread
    assert (tmp_path / "acts-boot-1").read_text("utf-8") == PINNED["acts-boot-1"]
    assert (tmp_path / "plan").read_bytes().hex() == PINNED["plan"]


def test_an_audit_is_chained_as_it_was() -> None:
    made = program.AuditLedger("boot-1")
    for line in pinned_lines():
        _, at, what, version, fence, detail, _ = field_values(line)
        made.add(at, what, version, fence, detail)
    assert made.fresh == pinned_lines()


def test_workers_taken_out_by_hand_are_files_of_the_same_names(tmp_path: Path) -> None:
    workers = {"worker-1", "an id/with.marks ~\u00e9"}
    for name in PINNED["bans"]:
        (tmp_path / name).touch()
    (tmp_path / "no file of this store").touch()
    assert set(program.ManualEjections(tmp_path).read()) == workers
    for worker in workers:
        program.ManualEjections(tmp_path / "new").add(worker)
    assert sorted(path.name for path in (tmp_path / "new").iterdir()) == PINNED["bans"]
    program.ManualEjections(tmp_path).remove("worker-1")
    assert set(program.ManualEjections(tmp_path).read()) == workers - {"worker-1"}


def test_every_key_of_a_nodes_configuration_means_what_it_did(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    path.write_text(json.dumps(node_config()), "utf-8")
    assert leaves(program.load_node_config({"PROXY_CONFIG": str(path)})) == PINNED["configuration"]


def test_variables_of_the_environment_win_over_the_file(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    path.write_text(json.dumps(node_config()), "utf-8")
    environment = {
        "PROXY_CONFIG": str(path),
        "PROXY_NAME": "other",
        "PROXY_LISTEN": "127.0.0.1:1",
        "PROXY_DISCOVERY": "127.0.0.1:2",
        "PROXY_CONSOLE": "127.0.0.1:3",
    }
    found = leaves(program.load_node_config(environment))
    assert found[:5] == ["other", "127.0.0.1", 1, "127.0.0.1", 2]
    assert ["127.0.0.1", 3] in [found[place : place + 2] for place in range(len(found))]


def test_names_of_the_operators_settings(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    path.write_text(json.dumps(node_config()), "utf-8")
    command = [sys.executable, "-m", "bitternpath", "check-config", "--config", str(path)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    names = [line.partition(" = ")[0] for line in done.stdout.splitlines()[1:]]
    assert names == OPERATOR_SETTINGS
    described = (ROOT / "deploy" / "operator.toml").read_text("utf-8")
    for name in OPERATOR_SETTINGS:
        section, _, key = name.partition(".")
        assert f"\n#[{section}]\n" in f"\n{described}" and f"\n#{key} = " in described


def test_operators_settings_come_from_file_variable_and_flag(tmp_path: Path) -> None:
    path, operator = tmp_path / "node.json", tmp_path / "operator.toml"
    path.write_text(json.dumps(node_config()), "utf-8")
    operator.write_text('[fleet]\nlease = 5.0\n[log]\nper_second = 7\nlevel = "error"\n', "utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "bitternpath", "check-config", "--config", str(path), "--log-level", "debug"],
        cwd=ROOT,
        env={"BITTERNPATH_OPERATOR_FILE": str(operator), "BITTERNPATH_LOG_PER_SECOND": "8"},
        capture_output=True,
        text=True,
        check=True,
    )
    values = dict(line.partition(" = ")[::2] for line in done.stdout.splitlines()[1:])
    assert values["fleet.lease"].startswith("5.0 ")
    assert values["log.per_second"].startswith("8 ")
    assert values["log.level"].startswith('"debug" ')
