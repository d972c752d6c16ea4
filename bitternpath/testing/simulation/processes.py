"""Simulated machines and their processes: start, end, restart, suspension."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any

from bitternpath.replication.compaction import CompactionBounds
from bitternpath.roles.process import RoleLifecycle, build_role
from bitternpath.roles.settings import Settings, read_settings
from bitternpath.roles.settings_reader import SettingsError
from bitternpath.storage.errors import CorruptDocumentError, CorruptJournalError
from bitternpath.testing.simulation.disk import SimulatedNodeDisk
from bitternpath.testing.simulation.errors import failure
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.group_invariants import GroupInvariantChecker
from bitternpath.testing.simulation.network import Host, Network
from bitternpath.testing.simulation.reactor import Suspension, VirtualReactor
from bitternpath.testing.simulation.scheduler import Scheduler
from bitternpath.testing.simulation.settings import LogSizes, MachineSpec

START_WALL_MS = 1_765_000_000_000  # wall clock at the beginning of a run, in milliseconds since the epoch
RESTART_DELAY_S = 0.4  # between the exit of a process by itself and its restart
MIN_SYNC_S = 0.001
MAX_SYNC_S = 0.005
# DEPLOY (NEWS-24): a process runs at full speed until its share is spent, then not until the next period.
QUOTA_PERIOD_S = 0.1


class NodeState(Enum):
    """The state of a machine and its process."""

    DOWN = "down"
    UP = "up"
    FROZEN = "frozen"
    REMOVED = "removed"


class SimulatedEnvironment:
    """`roles.environment.ProcessEnvironment` for one start of a process."""

    def __init__(self, node: SimulatedNode, reactor: VirtualReactor, random: Random) -> None:
        self._node = node
        self._reactor = reactor
        self._random = random
        self.node_disk: SimulatedNodeDisk | None = None

    @property
    def random(self) -> Random:
        """The process's random generator."""
        return self._random

    def compaction(self, disk_bytes: int) -> CompactionBounds:
        """The run's compaction thresholds, regardless of the disk's size."""
        return self._node.logs.compaction

    def wall_ms(self) -> int:
        """The machine's wall clock."""
        return START_WALL_MS + int(self._reactor.seconds() * 1000) + self._node.skew_ms

    def disk(self, data_dir: Path) -> SimulatedNodeDisk:
        """The machine's disk, opened by this process; `data_dir` is ignored, there is one folder."""
        if self.node_disk is None:
            random = Random(self._random.getrandbits(64))
            seconds = self._node.sync_seconds * self._node.factor
            self.node_disk = SimulatedNodeDisk(
                self._node.disk, self._reactor, random, seconds, self._node.logs
            )
            self._reactor.thread_work = self.node_disk.work
        return self.node_disk

    def load_settings(self) -> Settings:
        """Read the current settings file."""
        return read_settings(self._node.document)


@dataclass(frozen=True, slots=True)
class NodeSetup:
    """A machine's spec and settings document, the offset of its wall clock, log sizes and processor share."""

    spec: MachineSpec
    document: dict[str, Any]
    skew_ms: int
    logs: LogSizes
    processor_share: float = 1.0


class ProcessorQuota:
    """A processor quota: a process runs only in the first part of each period.

    The share is spent whether or not the process does anything, since virtual time stands still while code
    runs.
    """

    def __init__(self, scheduler: Scheduler, share: float) -> None:
        self._scheduler = scheduler
        self._run_s = QUOTA_PERIOD_S * share

    def apply(self, reactor: VirtualReactor) -> None:
        """Throttle a process until it ends; its first period begins now."""
        if reactor.ended:
            return
        reactor.thaw(Suspension.THROTTLED)
        now = self._scheduler.now
        self._scheduler.push(now + self._run_s, reactor.freeze, Suspension.THROTTLED)
        self._scheduler.push(now + QUOTA_PERIOD_S, self.apply, reactor)


class SimulatedNode:
    """A machine of the system and the process of its role."""

    def __init__(
        self, network: Network, invariants: GroupInvariantChecker, setup: NodeSetup, random: Random
    ) -> None:
        spec = setup.spec
        document = setup.document
        self.spec = spec
        self.document = document
        self.name = spec.name
        self.role = spec.role
        self.ip = spec.ip
        self.zone = spec.zone
        self.counted = spec.counted
        self.has_disk = spec.has_disk
        listen = document["listen"]
        self.front: str = listen.get("front", "")
        self.readiness: str = listen.get("readiness", "")
        self.control: str = listen.get("control", "")
        self.state = NodeState.DOWN
        self.skew_ms = setup.skew_ms
        self.logs = setup.logs
        self.factor = 1.0  # multiplies the delays of its links and the sync time of its disk
        self.disk = SimulatedFileSystem(fsync_persists_name=False)
        self.sync_seconds = random.uniform(MIN_SYNC_S, MAX_SYNC_S)
        self.host: Host = network.add_host(spec.ip, spec.zone)
        self.incarnations = 0
        self.exit_codes: list[int] = []
        self._network = network
        self._invariants = invariants
        self._random = random
        self._reactor: VirtualReactor | None = None
        self._environment: SimulatedEnvironment | None = None
        self._lifecycle: RoleLifecycle | None = None
        self._restart_timer: Any = None
        self._quota: ProcessorQuota | None = None
        if setup.processor_share < 1.0:
            self._quota = ProcessorQuota(network.scheduler, setup.processor_share)

    @property
    def process(self) -> Any:
        """The running role (`EdgeProcess` or `StorageProcess`); None if no process runs."""
        return self._lifecycle.role if self._lifecycle is not None else None

    # ---- start

    def start(self) -> None:
        """Start the process unless it already runs."""
        if self.state is not NodeState.DOWN:
            return
        self._cancel_restart()
        if not self.host.powered:
            self._network.power_on(self.host)
        self.incarnations += 1
        self.state = NodeState.UP
        self._network.recorder.event("start", f"{self.name} life={self.incarnations}")
        if self.incarnations > 1:
            self.document["bootstrap"] = False  # DEPLOY: true only at the first start of the whole system
        reactor = self._reactor = VirtualReactor(self.host, self.name)
        self._environment = SimulatedEnvironment(self, reactor, Random(self._random.getrandbits(64)))
        reactor.on_stop = self._process_stopped
        reactor.run(self._build, reactor, self._environment)
        if self._quota is not None:
            self._quota.apply(reactor)
        self.document["bootstrap"] = False

    def start_after(self, seconds: float) -> None:
        """Start the process after `seconds`."""
        self._cancel_restart()
        self._restart_timer = self._network.scheduler.at(self._network.scheduler.now + seconds, self.start)

    def _build(self, reactor: VirtualReactor, environment: SimulatedEnvironment) -> None:
        try:
            role = build_role(self.role, reactor, environment.load_settings(), environment)
        except (SettingsError, OSError, CorruptJournalError, CorruptDocumentError) as error:
            self._network.recorder.failed(failure(error))
            reactor.callLater(0, self._process_ended, -1)
            return
        base = role.node.base  # type: ignore[attr-defined]
        if base.host is not None:
            self._invariants.observe(self.name, base.host)
        self._lifecycle = RoleLifecycle(reactor, role)
        self._lifecycle.begin()

    # ---- end

    def kill(self) -> None:
        """End the process at once; peers receive resets of its connections."""
        if self.state in (NodeState.UP, NodeState.FROZEN):
            self._network.recorder.event("kill", self.name)
            self._end(lambda reactor: self.host.close_sockets(reactor, self._random))

    def lose_power(self, wiped: bool = False) -> None:
        """Stop the machine at once: peers receive nothing, unsynced writes may be lost."""
        if self.state is NodeState.REMOVED:
            return
        self._network.recorder.event("wipe" if wiped else "power_loss", self.name)
        self._cancel_restart()
        self._end(self.host.lose_power)
        self.host.powered = False
        if wiped:
            self.disk.wipe()
        else:
            self.disk.lose_power(self._random)

    def remove(self) -> None:
        """Stop the machine permanently."""
        if self.state is not NodeState.REMOVED:
            self._network.recorder.event("remove", self.name)
            self._cancel_restart()
            self._end(self.host.lose_power)
            self.host.powered = False
            self.state = NodeState.REMOVED

    def _end(self, close: Callable[[VirtualReactor], None]) -> None:
        reactor, environment = self._reactor, self._environment
        self._reactor = self._environment = self._lifecycle = None
        self.state = NodeState.DOWN
        if reactor is None:
            return
        reactor.end()
        if environment is not None and environment.node_disk is not None:
            environment.node_disk.end()
        close(reactor)

    def _process_stopped(self) -> None:
        """The process exits by itself: record its exit code and restart it."""
        code = int(self._lifecycle.exit_code) if self._lifecycle is not None else -1
        assert self._reactor is not None
        self._reactor.callLater(0, self._process_ended, code)

    def _process_ended(self, code: int) -> None:
        self.exit_codes.append(code)
        self._network.recorder.event("exit", f"{self.name} code={code}")
        self._end(lambda reactor: self.host.close_sockets(reactor, self._random))
        self.start_after(RESTART_DELAY_S)

    def _cancel_restart(self) -> None:
        if self._restart_timer is not None:
            self._restart_timer.cancel()
            self._restart_timer = None

    # ---- while it runs

    def freeze(self) -> None:
        """Suspend the process; time goes on."""
        if self.state is NodeState.UP and self._reactor is not None:
            self._network.recorder.event("freeze", self.name)
            self.state = NodeState.FROZEN
            self._reactor.freeze()

    def thaw(self) -> None:
        """Resume a frozen process."""
        if self.state is NodeState.FROZEN and self._reactor is not None:
            self._network.recorder.event("thaw", self.name)
            self.state = NodeState.UP
            self._reactor.thaw()

    def terminate(self) -> None:
        """Send SIGTERM."""
        if self._lifecycle is not None and self._reactor is not None:
            self._network.recorder.event("terminate", self.name)
            self._reactor.callFromThread(self._lifecycle.stop)

    def reload(self) -> None:
        """Send SIGHUP."""
        if self._lifecycle is not None and self._reactor is not None:
            self._network.recorder.event("reload", self.name)
            self._reactor.callFromThread(self._lifecycle.reload)

    def set_factor(self, factor: float) -> None:
        """Slow links and disk down by that factor."""
        self._network.recorder.event("slow", f"{self.name} factor={factor}")
        self.factor = factor
        self._network.set_factor(self.host, factor)
        if self._environment is not None and self._environment.node_disk is not None:
            self._environment.node_disk.set_sync_seconds(self.sync_seconds * factor)
