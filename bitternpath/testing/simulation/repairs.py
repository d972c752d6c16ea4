"""Repairs of many replica groups in virtual time, and how long each group is one loss away from no majority.

Machines have a simulated disk, a link of limited bandwidth and one replica host with all groups that the
placement assigns to them. Consensus, journal, placement and member changes are the real code; `Controller`
simulates the configuration's owner, which receives events of machines as links would report them. For tests
and for `benchmarks/repairs.py`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import Any

from msgspec.structs import replace

from bitternpath.configuration.placement import initial_placement
from bitternpath.membership.bootstrap import member_id
from bitternpath.replication.host import HostOptions, ReplicaHost
from bitternpath.replication.interfaces import MessageTransport
from bitternpath.replication.membership_reconciler import MembershipReconciler
from bitternpath.replication.reconfiguration import node_of
from bitternpath.replication.records import Members
from bitternpath.storage.journal import Journal
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter
from bitternpath.testing.simulation.repair_controller import LATENCY_S, SYNC_S, Controller
from bitternpath.testing.simulation.replica_checker import (
    Checker,
    CommandLogMachine,
    InvariantViolationError,
    Listener,
)
from bitternpath.testing.simulation.virtual_time import EventClock, ProcessClock
from bitternpath.transport.group_messages import GroupPlacement
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind

LINK_BYTES_PER_S = 125e6  # 1000 Mbit/s
SUBSCRIPTION_DELAY_S = 0.1  # from the start of a process to its subscription at the configuration's owner
POWER_LOSS_DETECTION_S = 1.6  # time-out of a link to a machine without power (`transport.link_liveness`)
RECONCILE_INTERVAL_S = 0.25  # between evaluations of state that no event reports
SAMPLE_INTERVAL_S = 0.005  # between samples of the measurement
CHUNK_BYTES = 32 << 10  # size of the commands that fill a group before the repair
ZONES = 3


@dataclass(slots=True)
class Process:
    """One incarnation of a machine's process."""

    descriptor: NodeDescriptor
    clock: ProcessClock
    journal_writer: VirtualTimeJournalWriter
    host: ReplicaHost
    reconciler: MembershipReconciler
    placements: dict[str, GroupPlacement] = field(default_factory=dict)


@dataclass(slots=True)
class Machine:
    """A machine with its disk, under a permanent name."""

    name: str
    zone: str
    disk: SimulatedFileSystem = field(default_factory=SimulatedFileSystem)
    disks: int = 1  # number of disks so far; a wipe counts as a new disk
    incarnations: int = 0
    process: Process | None = None
    sends_until: float = 0.0  # when its link has sent all queued messages
    receives_until: float = 0.0  # when its link has received all messages in flight

    def descriptor(self) -> NodeDescriptor:
        """The descriptor that its current process announces."""
        disk = f"d{self.disks}"
        return NodeDescriptor(
            self.name, f"{self.name}:1", NodeKind.STORAGE, self.zone, True, disk, self.incarnations, 0
        )


@dataclass(frozen=True, slots=True)
class RepairPlan:
    """The cluster before the repair. `state_bytes` is the size of each group's state."""

    groups: int = 1
    tolerated: int = 1
    machines: int = 0  # 0: as many as a group has members
    state_bytes: int = 0
    commands_per_s: float = 20.0  # rate for each group during the measurement
    command_bytes: int = 200
    link_bytes_per_s: float = LINK_BYTES_PER_S  # bandwidth of each machine, in each direction


@dataclass(slots=True)
class GroupTimes:
    """Times at which a group's repair reached its stages, in seconds of virtual time.

    `exposed_s`: total time in which one more loss would have cost the majority.
    """

    learner_at: float | None = None
    voter_at: float | None = None
    complete_at: float | None = None
    exposed_s: float = 0.0


class RepairWorld:
    """One run of a cluster under repair."""

    def __init__(self, seed: int, plan: RepairPlan) -> None:
        self.plan = plan
        self.random = Random(seed)
        self.clock = EventClock()
        self.checkers: dict[str, Checker] = {}
        self.machines: dict[str, Machine] = {}
        self.state_machines: dict[tuple[str, str], CommandLogMachine] = {}  # by member and group
        self.controller = Controller(self, plan.tolerated)
        self.times: dict[str, GroupTimes] = {}
        self.ended_at: dict[tuple[str, int], float] = {}  # by name and incarnation
        self.isolated: set[str] = set()  # machines whose members exchange no messages with others
        self.bytes_sent = 0
        self.error: BaseException | None = None
        self._serial = count(1)
        self._measured_from: float | None = None
        machine_count = plan.machines or 2 * plan.tolerated + 1
        for n in range(machine_count):
            self.add_machine(f"s{n}", f"z{n % ZONES}")
        nodes = [machine.descriptor() for machine in self.machines.values()]
        self.controller.groups = _placement(nodes, plan)
        self.checkers = {group.group: Checker() for group in self.controller.groups}
        for name in list(self.machines):
            self.start(name)
        self._reconcile_repeatedly()

    # ---- machines

    def add_machine(self, name: str, zone: str) -> Machine:
        """Add a machine with an empty disk, without starting it."""
        machine = self.machines[name] = Machine(name, zone)
        return machine

    def start(self, name: str) -> None:
        """Start a machine's process."""
        machine = self.machines[name]
        machine.incarnations += 1
        descriptor = machine.descriptor()
        clock = ProcessClock(self.clock)
        salts = count(self.random.getrandbits(31))
        log = SegmentLog(machine.disk, lambda: next(salts), 32 << 20, 4 << 20)
        journal_writer = VirtualTimeJournalWriter(clock, machine.disk, SYNC_S)
        member = member_id(descriptor)
        send = partial(self._send, machine, member)
        options = HostOptions(Random(self.random.random()))
        host = ReplicaHost(clock, member, Journal(log, journal_writer), MessageTransport(send), options)
        machine.process = Process(descriptor, clock, journal_writer, host, MembershipReconciler(host))
        self._open_groups(machine.process, self.controller.groups)  # stands for the feed's cache
        self.clock.callLater(SUBSCRIPTION_DELAY_S, self._subscribe, name, machine.process)

    def _subscribe(self, name: str, process: Process) -> None:
        if self.machines[name].process is process:
            self.controller.subscribed(process.descriptor)

    def last_contact_at(self, node: NodeDescriptor) -> float:
        """The time of the last contact between the configuration's owner and a node."""
        process = self.machines[node.name].process
        alive = process is not None and process.descriptor.incarnation == node.incarnation
        return self.clock.seconds() if alive else self.ended_at.get((node.name, node.incarnation), 0.0)

    def stop(self, name: str, *, graceful: bool, wipe: bool = False) -> None:
        """End a process: after a SIGTERM (`graceful`) or by a loss of power."""
        machine = self.machines[name]
        process = machine.process
        machine.process = None
        assert process is not None
        if graceful:
            process.journal_writer.stop()
            self.clock.callLater(LATENCY_S, self.controller.link_lost, process.descriptor)
        else:
            process.journal_writer.crash_during_batch(self.random)
            self.clock.callLater(POWER_LOSS_DETECTION_S, self.controller.link_lost, process.descriptor)
        process.clock.end()
        self.ended_at[name, process.descriptor.incarnation] = self.clock.seconds()
        if wipe:
            machine.disk.wipe()
            machine.disks += 1
        else:
            machine.disk.lose_power(self.random)

    def drain(self, name: str) -> None:
        """Handle SIGTERM: announce the draining and transfer ownership of all groups."""
        process = self.machines[name].process
        assert process is not None
        draining = replace(process.descriptor, draining=True)
        process.descriptor = draining
        self.clock.callLater(LATENCY_S, self.controller.subscribed, draining)
        for group in list(process.host.groups):
            if process.host.is_owner(group):
                process.clock.run(partial(process.host.transfer_leadership, group))

    # ---- groups

    def placement_received(self, name: str, groups: tuple[GroupPlacement, ...]) -> None:
        """Deliver a placement of the feed to a machine."""
        process = self.machines[name].process
        if process is not None:
            process.clock.run(partial(self._open_groups, process, groups))

    def _open_groups(self, process: Process, groups: Sequence[GroupPlacement]) -> None:
        own_id = process.host.member_id
        for placement in groups:
            process.placements[placement.group] = placement
            named = any(member.member == own_id for member in placement.members)
            required = named or process.host.has_unopened_state(placement.group)
            if required and placement.group not in process.host.groups:
                self._open_group(process, placement)
            members = [member.member for member in placement.members]
            process.reconciler.set_desired(placement.group, members, placement.generation)

    def _open_group(self, process: Process, placement: GroupPlacement) -> None:
        founders = None
        if placement.generation == 1:
            founders = Members(tuple(member.member for member in placement.members), (), 1)
        own_id, checker = process.host.member_id, self.checkers[placement.group]
        state_machine = self.state_machines[own_id, placement.group] = CommandLogMachine(own_id, checker)
        process.host.open_group(
            placement.group, state_machine, founders, Listener(own_id, checker, state_machine)
        )
        process.reconciler.group_opened(placement.group)

    @staticmethod
    def _step(process: Process) -> None:
        for group in process.placements:
            process.reconciler.reconcile(group)

    def _reconcile_repeatedly(self) -> None:
        self.clock.callLater(RECONCILE_INTERVAL_S, self._reconcile_repeatedly)
        self.controller.evaluate_placement()
        for machine in self.machines.values():
            if machine.process is not None:
                process = machine.process
                delay = self.random.uniform(0.0, RECONCILE_INTERVAL_S)  # processes are not synchronized
                self.clock.callLater(delay, process.clock.run, partial(self._step, process))

    def _send(self, sender: Machine, member: str, group: str, receiver: str, body: bytes) -> None:
        self.bytes_sent += len(body)
        now, transfer_s = self.clock.seconds(), len(body) / self.plan.link_bytes_per_s
        sender.sends_until = max(sender.sends_until, now) + transfer_s
        arrives_at = sender.sends_until + LATENCY_S
        target_machine = self.machines.get(node_of(receiver))
        if target_machine is not None:
            arrives_at = target_machine.receives_until = max(
                target_machine.receives_until + transfer_s, arrives_at
            )
        self.clock.callLater(arrives_at - now, self._deliver, member, group, receiver, body)

    def _deliver(self, sender: str, group: str, receiver: str, body: bytes) -> None:
        if {node_of(sender), node_of(receiver)} & self.isolated:
            return
        machine = self.machines.get(node_of(receiver))
        process = machine.process if machine is not None else None
        if process is not None and process.host.member_id == receiver:
            process.clock.run(lambda: process.host.receive(group, sender, body))

    def owner(self, group: str) -> Process | None:
        """The process that owns a group in the highest epoch."""
        owners = [
            machine.process
            for machine in self.machines.values()
            if machine.process is not None and machine.process.host.is_owner(group)
        ]
        return max(owners, key=lambda process: process.host.current_term(group), default=None)

    # ---- clients

    def propose(self, group: str, size: int) -> bool:
        """Propose a client's command; False if the group has no owner."""
        process = self.owner(group)
        if process is None:
            return False
        command = b"%d " % next(self._serial) + bytes(size)
        checker = self.checkers[group]

        def committed(_: object) -> None:
            checker.acknowledge(command)

        def record_error(failure: Any) -> None:
            self.error = self.error or failure.value

        def call() -> None:
            proposed = process.host.propose(group, command)
            proposed.addCallbacks(committed, lambda _: None).addErrback(record_error)

        process.clock.run(call)
        return True

    def fill(self) -> None:
        """Fill all groups up to the planned size of their state."""
        self.run_until(lambda: all(self.owner(group) is not None for group in self.checkers), 10.0)
        remaining = dict.fromkeys(self.checkers, -(-self.plan.state_bytes // CHUNK_BYTES))
        while any(remaining.values()):
            for group in remaining:
                if remaining[group] and self.propose(group, CHUNK_BYTES):
                    remaining[group] -= 1
            self.run(0.02)
        self.run(1.0)

    def traffic(self) -> None:
        """Start the traffic of commands to all groups."""
        for group in self.checkers:
            self._next_command(group)

    def _next_command(self, group: str) -> None:
        self.propose(group, self.plan.command_bytes)
        interval = self.random.expovariate(self.plan.commands_per_s)
        self.clock.callLater(interval, self._next_command, group)

    # ---- measuring

    def measure(self) -> None:
        """Start to record the progress of each group's repair."""
        self.times = {group: GroupTimes() for group in self.checkers}
        self.bytes_sent = 0
        self._sample()

    def _sample(self) -> None:
        self.clock.callLater(SAMPLE_INTERVAL_S, self._sample)
        for placement in self.controller.groups:
            self._sample_group(placement, self.times[placement.group])

    def _sample_group(self, placement: GroupPlacement, times: GroupTimes) -> None:
        if self.slack(placement.group) <= 0:
            times.exposed_s += SAMPLE_INTERVAL_S
        owner = self.owner(placement.group)
        if owner is None or times.complete_at is not None or placement.generation == 1:
            return
        now = self.clock.seconds()
        members, committed = self._members(owner, placement.group)
        desired = {member.member for member in placement.members}
        if times.learner_at is None and desired <= set(members.all):
            times.learner_at = now
        if times.voter_at is None and committed and desired <= set(members.voters):
            times.voter_at = now
        if committed and desired == set(members.all) == set(members.voters):
            times.complete_at = now

    @staticmethod
    def _members(owner: Process, group: str) -> tuple[Members, bool]:
        return owner.host.members(group), owner.host.committed_members(group) is not None

    def slack(self, group: str) -> int:
        """How many more voters a group could lose without losing its majority; -1 without an owner."""
        owner = self.owner(group)
        if owner is None:
            return -1
        voters = owner.host.members(group).voters
        up = {
            machine.process.host.member_id
            for machine in self.machines.values()
            if machine.process is not None
        }
        return sum(voter in up for voter in voters) - (len(voters) // 2 + 1)

    # ---- running

    def run(self, seconds: float) -> None:
        """Play events for `seconds`."""
        self.run_until(lambda: False, seconds)

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Play events until a condition holds, for `seconds` at most. Raises `InvariantViolationError`."""
        end = self.clock.seconds() + seconds
        next_check_at = self.clock.seconds()
        while self.clock.step(end):
            for checker in self.checkers.values():
                if checker.violation is not None:
                    raise checker.violation
            if self.error is not None:
                raise self.error
            if self.clock.seconds() >= next_check_at:
                next_check_at = self.clock.seconds() + SAMPLE_INTERVAL_S
                if condition():
                    return True
        return condition()

    def repaired(self) -> bool:
        """Whether the placement has changed and all changed groups have the members that it names."""
        changed = [placement.group for placement in self.controller.groups if placement.generation > 1]
        return bool(changed) and all(self.times[group].complete_at is not None for group in changed)

    def check_nothing_lost(self) -> None:
        """Check that each owner has all acknowledged commands. Raises `InvariantViolationError`."""
        for group, checker in self.checkers.items():
            owner = self.owner(group)
            if owner is None:
                raise InvariantViolationError(f"{group} has no owner")
            commands = self.state_machines[owner.host.member_id, group].commands
            if commands[: checker.acknowledged] != checker.committed[: checker.acknowledged]:
                raise InvariantViolationError(f"{group}: the owner lacks acknowledged commands")


def _placement(nodes: Sequence[NodeDescriptor], plan: RepairPlan) -> tuple[GroupPlacement, ...]:
    """The placement of the planned number of groups, distributed like those of `initial_placement`."""
    base = initial_placement(nodes, plan.tolerated)
    return tuple(replace(base[number % len(base)], group=f"queue-{number}") for number in range(plan.groups))
