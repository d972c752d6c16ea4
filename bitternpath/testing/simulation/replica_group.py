"""A cluster of replica hosts in virtual time, determined by a seed, with checkers. For tests.

Each node has a simulated disk, a journal and a host with one group. Faults: lost, duplicated and reordered
messages, partitions, killed and frozen processes, loss of power, wiped, full and slow disks, transfers of
ownership. A wiped node returns with a new member id, since the identity of its disk is new.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import Any

from twisted.python.failure import Failure

from bitternpath.replication.compaction import CompactionBounds
from bitternpath.replication.errors import NotOwnerError
from bitternpath.replication.host import HostOptions, ReplicaHost
from bitternpath.replication.interfaces import MessageTransport
from bitternpath.replication.reconfiguration import DesiredMembers, MemberStatus, next_members
from bitternpath.replication.records import Members, RaftTiming
from bitternpath.storage.journal import Journal
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter
from bitternpath.testing.simulation.replica_checker import (
    Checker,
    CommandLogMachine,
    InvariantViolationError,
    Listener,
)
from bitternpath.testing.simulation.virtual_time import EventClock, ProcessClock

GROUP = "shard-1"
TIMING = RaftTiming(election_timeout=0.5, heartbeat_interval=0.2)  # a long interval saves messages to play
BOUNDS = CompactionBounds(size=600, entries=12, entries_to_keep=3)  # small, so that snapshots are frequent
CHECKPOINT_BYTES, SEGMENT_BYTES = 3_000, 1_000
REQUEST_INTERVAL_S = 0.06  # mean time between client requests
MEMBERSHIP_INTERVAL_S = 0.15  # mean time between evaluations of the membership by an owner
POWER_LOSS_AFTER_ACK_SHARE = 0.01  # share of acknowledgements after which all nodes lose power at once
CHECK_INTERVAL_S = 0.02  # between evaluations of the condition in `run_until`


@dataclass(slots=True)
class Process:
    """One incarnation of a node's process."""

    member: str
    clock: ProcessClock
    journal_writer: VirtualTimeJournalWriter
    host: ReplicaHost
    state_machine: CommandLogMachine


@dataclass(slots=True)
class Node:
    """A machine with its disk."""

    name: str
    disk: SimulatedFileSystem = field(default_factory=partial(SimulatedFileSystem, fsync_persists_name=False))
    wipes: int = 0
    process: Process | None = None

    @property
    def member(self) -> str:
        """The member id, which belongs to the disk."""
        return f"{self.name}.{self.wipes}"


@dataclass(frozen=True, slots=True)
class Plan:
    """The parameters of a run."""

    nodes: int = 3
    seconds: float = 4.0
    fault_every: float = 0.5
    agreement_timeout_s: float = 20.0  # after the last fault, for all replicas to agree
    wipes: bool = True
    empty_disk_keeps_identity: bool = False  # deliberately broken: a wiped node keeps its member id


class World:
    """One run of a cluster."""

    def __init__(self, seed: int, plan: Plan = Plan()) -> None:
        self.plan = plan
        self.random = Random(seed)
        self.clock = EventClock()
        self.checker = Checker()
        self.nodes = {f"n{i}": Node(f"n{i}") for i in range(plan.nodes)}
        self.founders = Members(tuple(node.member for node in self.nodes.values()))
        self.blocked: set[tuple[str, str]] = set()
        self.loss = self.random.choice([0.0, 0.02, 0.1])
        self.latency = 0.002
        self.faults_stopped = False
        self._serial = count(1)
        self.faults = 0
        self._error: BaseException | None = None  # raised in a callback
        for node in self.nodes.values():
            self._start(node, self.founders)

    # ---- processes

    def _start(self, node: Node, founders: Members | None) -> None:
        clock = ProcessClock(self.clock)
        salts = count(self.random.getrandbits(31))
        log = SegmentLog(node.disk, lambda: next(salts), CHECKPOINT_BYTES, SEGMENT_BYTES)
        journal_writer = VirtualTimeJournalWriter(clock, node.disk, self.random.choice([0.001, 0.005]))
        journal = Journal(log, journal_writer)
        member = node.member

        def send(group: str, receiver: str, body: bytes) -> None:
            self._send(node.name, member, receiver, group, body)

        options = HostOptions(Random(self.random.random()), TIMING, BOUNDS)
        host = ReplicaHost(clock, member, journal, MessageTransport(send), options)
        state_machine = CommandLogMachine(node.name, self.checker)
        node.process = Process(member, clock, journal_writer, host, state_machine)
        host.open_group(GROUP, state_machine, founders, Listener(node.name, self.checker, state_machine))

    def _end(self, node: Node) -> None:
        process = node.process
        node.process = None
        assert process is not None
        process.journal_writer.crash_during_batch(self.random)
        process.clock.end()

    def _send(self, sender_node: str, sender: str, receiver: str, group: str, body: bytes) -> None:
        name = receiver.partition(".")[0]
        if (sender_node, name) in self.blocked or self.random.random() < self.loss:
            return
        for _ in range(2 if self.random.random() < self.loss else 1):
            delay = self.latency * (1 + self.random.expovariate(1.0))
            self.clock.callLater(delay, self._deliver, name, sender, receiver, group, body)

    def _deliver(self, name: str, sender: str, receiver: str, group: str, body: bytes) -> None:
        process = self.nodes[name].process
        if process is not None and process.member == receiver:
            process.clock.run(lambda: process.host.receive(group, sender, body))

    # ---- clients

    def _request(self) -> None:
        processes = [node.process for node in self.nodes.values() if node.process is not None]
        owners = [process for process in processes if process.host.is_owner(GROUP)]
        if self.random.random() < 0.1 or not owners:
            owners = processes
        if not owners:
            return
        process = self.random.choice(owners)
        if self.random.random() < 0.2:
            process.clock.run(lambda: self._barrier(process))
        else:
            for _ in range(self.random.randint(1, 3)):
                command = b"%d " % next(self._serial) + bytes(self.random.randint(0, 30))
                process.clock.run(partial(self.propose, process, command))

    def propose(self, process: Process, command: bytes) -> None:
        """Propose a command and report its outcome to the checker."""

        def committed(result: object) -> None:
            if result != command:
                self.checker.fail(f"{command!r} was answered with {result!r}")
            self.checker.acknowledge(command)
            if not self.faults_stopped and self.random.random() < POWER_LOSS_AFTER_ACK_SHARE:
                self.clock.callLater(0.0, self._lose_power_everywhere)

        def failed(failure: Failure) -> None:
            if isinstance(failure.value, NotOwnerError):
                self.checker.refuse(command)

        deferred = process.host.propose(GROUP, command)
        deferred.addCallbacks(committed, failed)
        deferred.addErrback(self._record_error)

    def _barrier(self, process: Process) -> None:
        acknowledged = self.checker.acknowledged

        def confirmed(_: None) -> None:
            if len(process.state_machine.commands) < acknowledged:
                self.checker.fail(f"{process.member} read a state older than what was acknowledged before")

        deferred = process.host.read_barrier(GROUP)
        deferred.addCallbacks(confirmed, lambda failure: failure.trap(NotOwnerError))
        deferred.addErrback(self._record_error)

    def _record_error(self, failure: Failure) -> None:
        self._error = self._error or failure.value

    # ---- membership

    def _reconcile_members(self) -> None:
        """Let the owner take the next step towards the current members of all nodes."""
        desired = [node.member for node in self.nodes.values()]
        for node in self.nodes.values():
            if node.process is not None:
                process = node.process
                process.clock.run(partial(self._step_members, process, desired))

    @staticmethod
    def _step_members(process: Process, desired: list[str]) -> None:
        host = process.host
        if host.is_owner(GROUP):
            status = MemberStatus(caught_up=partial(host.caught_up, GROUP))
            members = next_members(host.members(GROUP), DesiredMembers(tuple(desired)), status)
            if members is not None:
                host.change_members(GROUP, members)

    def _may_wipe(self) -> bool:
        """Whether another disk may be lost: an owner's committed members are those of all nodes, and all of
        them have caught up.
        """
        desired = {node.member for node in self.nodes.values()}
        for node in self.nodes.values():
            process = node.process
            if process is not None and process.host.is_owner(GROUP):
                host = process.host
                raft = host.groups[GROUP].raft
                stable = set(raft.members.voters) == desired and not raft.members.learners
                stable = stable and raft.log.members_index <= raft.commit_index
                others = desired - {process.member}
                return stable and all(host.caught_up(GROUP, member) for member in others)
        return False

    # ---- faults

    def _inject_fault(self) -> None:
        self.faults += 1
        kinds: list[Callable[[Node], None]] = [
            self._kill,
            self._lose_power,
            self._freeze,
            self._isolate,
            self._transfer_ownership,
            self._isolate_during_transfer,
            self._fill_disk,
            self._slow_disk,
        ]
        if self.plan.wipes:
            kinds.append(self._wipe)
        node = self.random.choice(list(self.nodes.values()))
        kind = self.random.choice(kinds)
        all_nodes = kind in (self._kill, self._lose_power) and self.random.random() < 0.3
        for each in list(self.nodes.values()) if all_nodes else [node]:
            if each.process is not None:
                kind(each)

    def _schedule(self, call: Callable[..., None], *arguments: Any, longest: float = 1.2) -> None:
        self.clock.callLater(self.random.uniform(0.02, longest), call, *arguments)

    def _kill(self, node: Node) -> None:
        self._end(node)
        node.disk.restart()
        self._schedule(self._restart, node)

    def _lose_power(self, node: Node) -> None:
        self._end(node)
        node.disk.lose_power(self.random)
        self._schedule(self._restart, node)

    def _lose_power_everywhere(self) -> None:
        for node in self.nodes.values():
            if node.process is not None:
                self._lose_power(node)

    def _wipe(self, node: Node) -> None:
        if self._may_wipe():
            self._end(node)
            node.disk.wipe()
            if not self.plan.empty_disk_keeps_identity:
                node.wipes += 1
            self._schedule(self._restart, node)

    def _restart(self, node: Node) -> None:
        if node.process is None:
            self._start(node, self.founders)

    def _freeze(self, node: Node) -> None:
        if node.process is None:
            return
        node.process.clock.freeze()
        self._schedule(node.process.clock.thaw, longest=2.0)

    def _isolate(self, node: Node) -> None:
        for other in self.nodes:
            pair = [(node.name, other), (other, node.name)]
            self.blocked.update(pair[:1] if self.random.random() < 0.2 else pair)
        self._schedule(self.blocked.clear, longest=2.0)

    def _transfer_ownership(self, node: Node) -> None:
        for each in self.nodes.values():
            if each.process is not None:
                process = each.process
                process.clock.run(partial(process.host.transfer_leadership, GROUP))

    def _isolate_during_transfer(self, node: Node) -> None:
        """Transfer ownership while the former owner receives nothing, so that it misses the election."""
        for each in self.nodes.values():
            if each.process is not None and each.process.host.transfer_leadership(GROUP):
                self.blocked.update((other, each.name) for other in self.nodes)
                self._schedule(self.blocked.clear)

    def _fill_disk(self, node: Node) -> None:
        node.disk.capacity = node.disk.used + self.random.randint(0, 300)
        self._schedule(self._remove_disk_limit, node)

    @staticmethod
    def _remove_disk_limit(node: Node) -> None:
        node.disk.capacity = None

    def _slow_disk(self, node: Node) -> None:
        assert node.process is not None
        node.process.journal_writer.sync_seconds = self.random.choice([0.05, 0.3])
        self._schedule(setattr, node.process.journal_writer, "sync_seconds", 0.001)

    # ---- running

    def play(self) -> Checker:
        """Inject faults, then run without faults until all agree. Raises `InvariantViolationError`."""
        self._repeat(REQUEST_INTERVAL_S, self._request)
        self._repeat(MEMBERSHIP_INTERVAL_S, self._reconcile_members)
        self._repeat(self.plan.fault_every, self._inject_fault)
        self.run_until(lambda: False, self.plan.seconds)
        self._stop_faults()
        if not self.run_until(self._agrees, self.plan.agreement_timeout_s):
            raise InvariantViolationError(
                f"no agreement after {self.plan.agreement_timeout_s} s without faults: {self._describe()}"
            )
        return self.checker

    def _repeat(self, mean: float, call: Callable[[], object]) -> None:
        def call_and_repeat() -> None:
            if not self.faults_stopped or call == self._reconcile_members:
                call()
                self._repeat(mean, call)

        self.clock.callLater(mean * self.random.uniform(0.5, 1.5), call_and_repeat)

    def _stop_faults(self) -> None:
        self.faults_stopped = True
        self.loss = 0.0
        self.blocked.clear()
        for node in self.nodes.values():
            node.disk.capacity = None

    def _agrees(self) -> bool:
        """Whether all nodes run, are voters and have applied all committed commands."""
        for node in self.nodes.values():
            if node.process is None or node.process.state_machine.commands != self.checker.committed:
                return False
            host = node.process.host
            if set(host.members(GROUP).voters) != {each.member for each in self.nodes.values()}:
                return False
        return any(node.process and node.process.host.is_owner(GROUP) for node in self.nodes.values())

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Play events until a condition holds, checked every `CHECK_INTERVAL_S`, for `seconds` at most."""
        end = self.clock.seconds() + seconds
        next_check_at = self.clock.seconds() + CHECK_INTERVAL_S
        while self.clock.step(end):
            if error := self.checker.violation or self._error:
                raise error
            if self.clock.seconds() >= next_check_at:
                next_check_at = self.clock.seconds() + CHECK_INTERVAL_S
                if condition():
                    return True
        return condition()

    def _describe(self) -> str:
        descriptions = []
        for node in self.nodes.values():
            if node.process is None:
                descriptions.append(f"{node.name} down")
            else:
                host = node.process.host
                descriptions.append(
                    f"{node.member} epoch {host.current_term(GROUP)} leader {host.leader(GROUP)!r} "
                    f"members {host.members(GROUP)} applied {len(node.process.state_machine.commands)}"
                )
        return f"committed {len(self.checker.committed)}; " + "; ".join(descriptions)
