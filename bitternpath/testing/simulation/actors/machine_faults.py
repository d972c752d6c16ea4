"""Injects a plan's faults of machines into a world, and records the disruptions."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from bitternpath.testing.fault_injection.records import Outage
from bitternpath.testing.simulation.actors.node_directory import NodeDirectory
from bitternpath.testing.simulation.checks.history import Disruption, DisruptionKind, SystemHistory
from bitternpath.testing.simulation.events import Fault, FaultKind

if TYPE_CHECKING:
    from bitternpath.testing.simulation.world import World

GRACE_S = 6.0  # `grace_s`: maximum time from SIGTERM to the end of a process
RESTART_WITHIN_S = 1.0  # maximum time from the end of a process to its restart
SLOW_FACTOR = 20.0
PACKET_LOSS = 0.05  # share of packets lost on lossy links
SHORTEST_DOWN_S = 0.3


class MachineFaults:
    """Injects faults of machines, which end after their duration."""

    def __init__(self, world: World, history: SystemHistory, directory: NodeDirectory) -> None:
        self._world = world
        self._history = history
        self._directory = directory
        self._lossy: set[str] = set()  # names of machines with lossy links
        self._injectors: dict[FaultKind, Callable[[Fault, str], None]] = {
            FaultKind.KILL: self._kill,
            FaultKind.POWER: self._lose_power,
            FaultKind.WIPE: self._wipe,
            FaultKind.FREEZE: self._freeze,
            FaultKind.PARTITION: self._partition,
            FaultKind.PARTITION_INBOUND: self._partition_one_way,
            FaultKind.PARTITION_OUTBOUND: self._partition_one_way,
            FaultKind.PARTITION_WITH_SEEDS: self._partition_with_seeds,
            FaultKind.SLOW: self._slow,
            FaultKind.STALL: self._stall,
            FaultKind.RESET: self._reset,
            FaultKind.REPLACE: self._replace,
            FaultKind.ADD: self._add,
            FaultKind.TERM: self._terminate,
            FaultKind.ALL_KILLED: self._kill,
            FaultKind.ALL_POWER: self._lose_power,
            FaultKind.HERD_KILLED: self._kill,
            FaultKind.CLOCK_STEP: self._step_clock,
            FaultKind.LOSSY: self._lose_packets,
        }

    def play(self, fault: Fault) -> None:
        """Inject a fault now and schedule its later steps."""
        if fault.kind is FaultKind.HALVES:
            self._partition_halves(fault)
        elif fault.kind is FaultKind.POWER_CHAIN:
            self._power_chain(fault)
        else:
            self._inject(fault)

    def _inject(self, fault: Fault) -> None:
        for planned in fault.nodes or ("",):
            name = self._directory.name(planned) if planned and fault.kind is not FaultKind.ADD else planned
            if planned in fault.wiped:
                self._wipe(fault, name)
            else:
                self._injectors[fault.kind](fault, name)

    def retired(self, planned: str) -> None:
        """Remove a machine whose retirement is reported as done, together with its disk."""
        name = self._directory.name(planned)
        self._world.remove(name)
        self._directory.changed()

    def heal(self) -> None:
        """End all faults in progress."""
        for node in list(self._world.nodes.values()):
            self._world.thaw(node.name)
            self._world.heal_host(node.name)
            if node.name in self._lossy:
                self._restore_links(node.name)
            if node.factor != 1.0:
                self._world.slow(node.name, 1.0)

    # ---- kinds of faults

    def _kill(self, fault: Fault, name: str) -> None:
        self._world.kill(name, self._down_s(fault))
        self._record_outage(DisruptionKind.DOWN, name, self._down_s(fault))

    def _lose_power(self, fault: Fault, name: str) -> None:
        self._world.lose_power(name, self._down_s(fault))
        self._record_outage(DisruptionKind.DOWN, name, self._down_s(fault))

    def _wipe(self, fault: Fault, name: str) -> None:
        self._world.wipe(name, self._down_s(fault))
        self._record_outage(DisruptionKind.DOWN, name, self._down_s(fault))

    def _freeze(self, fault: Fault, name: str) -> None:
        self._world.freeze(name)
        self._schedule(fault.lasts, self._world.thaw, name)
        self._record_outage(DisruptionKind.FROZEN, name, fault.lasts)

    def _partition(self, fault: Fault, name: str) -> None:
        self._world.isolate(name, self._others(name))
        self._schedule(fault.lasts, self._world.heal_host, name)
        self._record_outage(DisruptionKind.PARTITION, name, fault.lasts)

    def _partition_one_way(self, fault: Fault, name: str) -> None:
        for other in self._others(name):
            if fault.kind is FaultKind.PARTITION_OUTBOUND:
                self._world.partition(name, other, both=False)
            else:
                self._world.partition(other, name, both=False)
        self._schedule(fault.lasts, self._world.heal_host, name)
        self._record_outage(DisruptionKind.PARTITION, name, fault.lasts)

    def _partition_with_seeds(self, fault: Fault, name: str) -> None:
        node = self._world.nodes[name]
        own = node.control or self._world.edges()[0].control
        self._world.reload(name, seeds=[own])
        self._partition(fault, name)
        self._schedule(fault.lasts, self._world.write_seeds)

    def _slow(self, fault: Fault, name: str) -> None:
        self._world.slow(name, SLOW_FACTOR)
        self._schedule(fault.lasts, self._restore_speed, name)
        self._record_outage(DisruptionKind.SLOWED, name, fault.lasts)

    def _stall(self, fault: Fault, name: str) -> None:
        self._world.stall_disk(name, fault.lasts)
        self._record_outage(DisruptionKind.SLOWED, name, fault.lasts)

    def _reset(self, fault: Fault, name: str) -> None:
        for other in self._others(name):
            self._world.reset(name, other)
        self._record_outage(DisruptionKind.PARTITION, name, 0.0)

    def _replace(self, fault: Fault, name: str) -> None:
        successor = self._world.replace(name)
        self._directory.replaced(fault.nodes[0], successor.name)
        self._record_outage(DisruptionKind.DOWN, name, 0.0)
        self._record_outage(DisruptionKind.NEW, successor.name, 0.0)

    def _add(self, fault: Fault, role: str) -> None:
        added = self._world.add_node(role)
        self._directory.changed()
        self._record_outage(DisruptionKind.NEW, added.name, 0.0)

    def _terminate(self, fault: Fault, name: str) -> None:
        self._world.terminate(name)
        until = GRACE_S + RESTART_WITHIN_S
        self._history.outages.append(Outage(name, self._world.now, self._world.now + until, planned=True))
        self._disrupt(DisruptionKind.LEAVING, name, until)

    def _step_clock(self, fault: Fault, name: str) -> None:
        self._world.step_clock(name, fault.step_ms)
        self._record_outage(DisruptionKind.CLOCK, name, 0.0)

    def _lose_packets(self, fault: Fault, name: str) -> None:
        self._lossy.add(name)
        for other in self._others(name):
            self._world.set_packet_loss(name, other, PACKET_LOSS)
        self._schedule(fault.lasts, self._restore_links, name)
        self._record_outage(DisruptionKind.LOSSY, name, fault.lasts)

    def _restore_links(self, name: str) -> None:
        self._lossy.discard(name)
        for other in self._others(name):
            self._world.set_packet_loss(name, other, 0.0)

    def _partition_halves(self, fault: Fault) -> None:
        """Partition `fault.nodes` from the other counted machines; all others reach both halves (NEWS-22)."""
        half = {self._directory.name(planned) for planned in fault.nodes}
        counted = [node.name for node in (*self._world.edges(), *self._world.storages()) if node.counted]
        for name in half:
            for other in counted:
                if other not in half:
                    self._world.partition(name, other)
                    self._world.at(self._world.now + fault.lasts, self._world.heal_partition, name, other)
        for name in counted:
            self._record_outage(DisruptionKind.PARTITION, name, fault.lasts)

    def _power_chain(self, fault: Fault) -> None:
        """Let each machine lose power `gap_s` after its predecessor, while others may still be off."""
        for position, planned in enumerate(fault.nodes):
            link = msgspec.structs.replace(
                fault,
                kind=FaultKind.WIPE if planned in fault.wiped else FaultKind.POWER,
                nodes=(planned,),
                wiped=(),
            )
            self._world.at(self._world.now + position * fault.gap_s, self._inject, link)

    # ---- helpers

    def _restore_speed(self, name: str) -> None:
        self._world.slow(name, 1.0)

    def _others(self, name: str) -> list[str]:
        """All other machines of the system; operators, clients and workers are not partitioned from it."""
        return [other.name for other in (*self._world.edges(), *self._world.storages()) if other.name != name]

    @staticmethod
    def _down_s(fault: Fault) -> float:
        return max(fault.lasts, SHORTEST_DOWN_S)

    def _schedule(self, seconds: float, call: Callable[..., object], *arguments: str) -> None:
        self._world.at(self._world.now + seconds, call, *arguments)

    def _record_outage(self, kind: DisruptionKind, name: str, lasts: float) -> None:
        now = self._world.now
        self._history.outages.append(Outage(name, now, now + lasts, planned=False))
        self._disrupt(kind, name, lasts)

    def _disrupt(self, kind: DisruptionKind, name: str, lasts: float) -> None:
        now = self._world.now
        self._history.disruptions.append(Disruption(kind, frozenset({name}), now, now + lasts))
