"""Faults of a world, which take effect at once. Faults of links also accept addresses of actors' hosts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.network import Network
from bitternpath.testing.simulation.processes import SimulatedNode
from bitternpath.testing.simulation.recorder import Recorder

if TYPE_CHECKING:
    from bitternpath.testing.simulation.scheduler import Scheduler

RESTART_DELAY_S = 0.5  # between the kill of a process and its restart
POWER_OFF_S = 1.0  # between the loss of a machine's power and its restart


class Faults:
    """Faults of nodes, links and disks."""

    network: Network
    recorder: Recorder
    scheduler: Scheduler
    nodes: dict[str, SimulatedNode]

    # ---- processes and machines

    def kill(self, name: str, down_s: float | None = RESTART_DELAY_S) -> None:
        """Kill the process; it is restarted after `down_s` seconds, or not at all if that is None."""
        self.nodes[name].kill()
        self._start_after(name, down_s)

    def lose_power(self, name: str, down_s: float | None = POWER_OFF_S) -> None:
        """Stop the machine without resets; unsynced writes are kept, lost or torn."""
        self.nodes[name].lose_power()
        self._start_after(name, down_s)

    def wipe(self, name: str, down_s: float | None = POWER_OFF_S) -> None:
        """Lose power and the disk's content; `bootstrap` is false from then on."""
        self.nodes[name].lose_power(wiped=True)
        self._start_after(name, down_s)

    def freeze(self, name: str) -> None:
        """Suspend the process; the kernel of its machine goes on."""
        self.nodes[name].freeze()

    def thaw(self, name: str) -> None:
        """Resume a frozen process; due timers and unread bytes are handled at once."""
        self.nodes[name].thaw()

    def slow(self, name: str, factor: float) -> None:
        """Multiply the delays of its links and its disk by `factor`; 1.0 is normal."""
        self.nodes[name].set_factor(factor)

    def terminate(self, name: str) -> None:
        """Send SIGTERM; the process is restarted after its end."""
        self.nodes[name].terminate()

    def reload(self, name: str, **settings: Any) -> None:
        """Change the settings file, then SIGHUP."""
        self.change_settings(name, **settings)
        self.nodes[name].reload()

    def step_clock(self, name: str, milliseconds: int) -> None:
        """Step the wall clock; the monotonic clock is not affected."""
        self.recorder.event("step_clock", f"{name} {milliseconds}")
        self.nodes[name].skew_ms += milliseconds

    def change_settings(self, name: str, **settings: Any) -> None:
        """Change the settings file; the process reads it at its next start, or at a SIGHUP."""
        self.nodes[name].document.update(settings)

    def remove(self, name: str) -> None:
        """Remove the machine permanently and update the seeds in all settings files."""
        self.nodes[name].remove()
        self.write_seeds()

    def replace(self, name: str, zone: str = "") -> SimulatedNode:
        """Remove the machine permanently; an empty one at another address replaces it."""
        old = self.nodes[name]
        self.remove(name)
        new = self.add_node(old.role, zone or old.zone, old.counted, old.has_disk)
        self.write_seeds()
        return new

    def write_seeds(self, seeds: Iterable[str] | None = None) -> None:
        """Write seeds into all settings files, by default those of the current machines."""
        wanted = self.current_seeds() if seeds is None else list(seeds)
        for node in self.nodes.values():
            node.document["seeds"] = list(wanted)

    # ---- links

    def partition(self, a: str, b: str, both: bool = True) -> None:
        """Drop packets from a to b, and back if `both`; bytes of connections wait at their sender."""
        self.recorder.event("cut", f"{a} {b} both={both}")
        self._partition(a, b, both)

    def heal_partition(self, a: str, b: str) -> None:
        """Heal a partition, in both directions."""
        self.recorder.event("join", f"{a} {b}")
        self._heal(self.ip(a), self.ip(b))

    def isolate(self, name: str, others: Iterable[str] | None = None, both: bool = True) -> None:
        """Partition a node from `others`, by default from all hosts."""
        chosen = list(others) if others is not None else list(self.network.hosts)
        self.recorder.event("cut_off", f"{name} from={'all' if others is None else ','.join(chosen)}")
        for other in chosen:
            if self.ip(other) != self.ip(name):
                self._partition(name, other, both)

    def heal_host(self, name: str) -> None:
        """Heal all partitions of a host."""
        self.recorder.event("rejoin", name)
        ip = self.ip(name)
        for source, target in self.network.partitioned_pairs():
            if ip in (source, target):
                self.network.heal(source, target)

    def reset(self, a: str, b: str) -> None:
        """Reset all connections between two hosts; bytes in flight are lost."""
        self.recorder.event("reset", f"{a} {b}")
        self.network.reset(self.ip(a), self.ip(b))

    def limit_bandwidth(self, a: str, b: str, bytes_per_s: float | None) -> None:
        """Limit the bandwidth between two hosts in each direction; None: no limit."""
        self.recorder.event("squeeze", f"{a} {b} {bytes_per_s}")
        for source, target in ((a, b), (b, a)):
            self.network.path(self.ip(source), self.ip(target)).bytes_per_s = bytes_per_s

    def set_packet_loss(self, a: str, b: str, share: float) -> None:
        """Lose a share of the packets between two hosts; those of connections are retransmitted."""
        self.recorder.event("lossy", f"{a} {b} {share}")
        for source, target in ((a, b), (b, a)):
            path = self.network.path(self.ip(source), self.ip(target))
            path.loss = path.stream_loss = share

    # ---- disks

    def disk(self, name: str) -> SimulatedFileSystem:
        """The disk of a node."""
        return self.nodes[name].disk

    def stall_disk(self, name: str, seconds: float) -> None:
        """Complete no write for `seconds`."""
        self.recorder.event("stall", f"{name} {seconds}")
        self.nodes[name].disk.stalled_until = self.scheduler.now + seconds

    def limit_disk(self, name: str, free_bytes: int | None) -> None:
        """Leave `free_bytes` on a disk; None: no limit."""
        self.recorder.event("room", f"{name} {free_bytes}")
        disk = self.nodes[name].disk
        disk.capacity = None if free_bytes is None else disk.used + free_bytes

    # ---- provided by `World`

    def add_node(
        self, role: str, zone: str = "", counted: bool | None = None, has_disk: bool | None = None
    ) -> SimulatedNode:
        """Add an empty machine."""
        raise NotImplementedError

    def current_seeds(self) -> list[str]:
        """Control addresses of the current machines that serve as seeds."""
        raise NotImplementedError

    def ip(self, name: str) -> str:
        """The address of a node; the address of an actor's host is returned as it is."""
        return self.nodes[name].ip if name in self.nodes else name

    def _start_after(self, name: str, seconds: float | None) -> None:
        if seconds is not None:
            self.nodes[name].start_after(seconds)

    def _partition(self, a: str, b: str, both: bool) -> None:
        self.network.partition(self.ip(a), self.ip(b))
        if both:
            self.network.partition(self.ip(b), self.ip(a))

    def _heal(self, a: str, b: str) -> None:
        self.network.heal(a, b)
        self.network.heal(b, a)
