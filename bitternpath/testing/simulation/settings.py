"""Settings of simulated nodes (DEPLOY, "Settings of a process"), as parsed documents."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from bitternpath.replication.compaction import CompactionBounds
from bitternpath.storage.segments import SEGMENT_BYTES
from bitternpath.testing.fault_injection.time_bounds import BOUNDS

FRONT_PORT, READINESS_PORT, CONTROL_PORT = 8069, 8063, 8064
INTERNAL_PORTS = [7780, 7795]
PLATFORM_IP, PLATFORM_PORT = "10.200.0.70", 8065


@dataclass(frozen=True, slots=True)
class LogSizes:
    """Thresholds for compaction; a short run never reaches the default ones."""

    compaction: CompactionBounds = field(default_factory=CompactionBounds)
    segment_bytes: int = SEGMENT_BYTES
    checkpoint_bytes: int = 0  # 0: the role's default


SMALL_LOGS = LogSizes(
    CompactionBounds(size=20_000, host_size=60_000, entries=24, entries_to_keep=6),
    segment_bytes=8_000,
    checkpoint_bytes=40_000,
)


@dataclass(frozen=True, slots=True)
class Plan:
    """The layout and settings of a world."""

    core_edges: int = 3  # edge machines with a disk that count for the quorum
    other_edges: int = 1  # edge machines without a disk
    storages: int = 3
    zones: tuple[str, ...] = ("suva-hall", "lautoka-hall", "nadi-hall")
    tolerated_machines: int = 1
    disk_mb: float = 64
    max_fds: int = 4100
    platform_rate_per_s: float = 44.0
    skew_ms: int = 50  # maximum offset of a machine's wall clock
    keep_log: bool = False
    logs: LogSizes = field(default_factory=LogSizes)
    processor_share: float = 1.0  # below 1.0, a quota applies (`processes.ProcessorQuota`)
    bounds: dict[str, float] = field(default_factory=lambda: dict(BOUNDS))


@dataclass(frozen=True, slots=True)
class MachineSpec:
    """The properties of a machine that its settings file contains."""

    name: str
    role: str
    ip: str
    zone: str
    counted: bool
    has_disk: bool


def settings_document(plan: Plan, spec: MachineSpec, seeds: list[str], bootstrap: bool) -> dict[str, Any]:
    """The content of a node's settings file."""
    edge = spec.role == "edge"
    return {
        "node_name": spec.name,
        "role": spec.role,
        "machine_class": spec.role,
        "serves": ["edge", "control_plane"] if edge else ["storage"],
        "ip": spec.ip,
        "zone": spec.zone,
        "region": "viti-levu",
        "internal_port_range": INTERNAL_PORTS,
        "seeds": list(seeds),
        "bootstrap": bootstrap,
        "counts_for_quorum": spec.counted,
        "data_dir": f"/data/{spec.name}" if spec.has_disk else "",
        "listen": _listen(spec.ip) if edge else {},
        "limits": {"memory_mb": 300, "max_fds": plan.max_fds, "disk_mb": plan.disk_mb},
        "fault_tolerance": {"machines": plan.tolerated_machines, "zones": 0, "regions": 0},
        "bounds": dict(plan.bounds),
        "cloud_api": {"address": f"{PLATFORM_IP}:{PLATFORM_PORT}", "rate_per_s": plan.platform_rate_per_s},
    }


def _listen(ip: str) -> dict[str, str]:
    return {
        "front": f"{ip}:{FRONT_PORT}",
        "readiness": f"{ip}:{READINESS_PORT}",
        "control": f"{ip}:{CONTROL_PORT}",
    }
