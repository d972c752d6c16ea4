"""The settings of a process of the system, read from a TOML file (DEPLOY, "Settings of a process").

`BITTERNPATH_CONFIG` names the file. Unknown keys are ignored; known ones are checked for type and range.
docs/operate/system.md lists all of them with their ranges and defaults.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bitternpath.roles.settings_reader import SettingsError, SettingsTable

__all__ = [
    "CONFIG_VARIABLE",
    "Bounds",
    "Settings",
    "SettingsError",
    "load_settings",
    "read_settings",
    "settings_path",
]

CONFIG_VARIABLE = "BITTERNPATH_CONFIG"


@dataclass(frozen=True, slots=True)
class Bounds:
    """The table `bounds`: limits set by the rules in force (RULES). Names end with their unit."""

    contact_ms: float  # not used yet
    drain_ms: float  # not used yet
    grace_s: float  # grace period, from SIGTERM to the end of the process
    config_apply_ms: float  # not used yet
    status_s: float  # how long the state of an ended message can be read
    callback_s: float  # not used yet
    visible_ms: float  # visibility time-out: lease of a pulling worker
    ceiling_window_s: float  # window over which a service's rate limit applies
    origin_rate_over: float  # factor by which the rate limit may be exceeded in a window


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a process. Addresses are `ip:port`, "" for none."""

    node_name: str
    role: str  # not used: the command names the role
    ip: str  # address of the internal listener
    zone: str  # failure domain; the replicas of a shard are in different zones
    region: str  # not used
    internal_ports: tuple[int, int]  # first and last; the first one is used, for TCP and UDP
    seeds: tuple[str, ...]  # control addresses of the nodes to contact first
    bootstrap: bool  # true only at the first start of the system
    counted: bool  # whether an edge node with a disk is a member of the configuration group
    data_dir: Path | None  # None for a node without a disk
    front: str  # listener for clients and pulling workers
    readiness: str  # listener for the platform's readiness probe
    control: str  # listener for the operator
    memory_mb: int  # not used yet
    max_fds: int  # limit of file descriptors
    disk_mb: int  # size of the disk; 0: unknown
    tolerated_machines: int  # f: shards have 2f+1 replicas
    platform: str  # address of the platform's endpoint list
    platform_rate_per_s: float  # calls per second to the platform, for all nodes together
    bounds: Bounds

    @property
    def internal_address(self) -> str:
        """The address at which other nodes reach this one."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Internal addresses of the seeds: the internal port is the same on all machines."""
        return tuple(f"{seed.rpartition(':')[0]}:{self.internal_ports[0]}" for seed in self.seeds)


def settings_path() -> Path:
    """The file that the environment names; raises `SettingsError` if it names none."""
    name = os.environ.get(CONFIG_VARIABLE)
    if not name:
        raise SettingsError(f"{CONFIG_VARIABLE} isn't set: it must name the settings file")
    return Path(name)


def load_settings(path: Path) -> Settings:
    """Read and check a settings file; raises `SettingsError`."""
    try:
        document = tomllib.loads(path.read_text("utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    return read_settings(document)


def read_settings(document: Mapping[str, Any]) -> Settings:
    """Check a parsed settings file; raises `SettingsError`."""
    top = SettingsTable("", document)
    listen = top.table("listen")
    limits = top.table("limits")
    platform = top.table("cloud_api")
    data_dir = top.text("data_dir", "")
    return Settings(
        node_name=top.text("node_name"),
        role=top.text("role", ""),
        ip=top.ip("ip"),
        zone=top.text("zone", ""),
        region=top.text("region", ""),
        internal_ports=top.ports("internal_port_range"),
        seeds=top.addresses("seeds"),
        bootstrap=top.flag("bootstrap"),
        counted=top.flag("counts_for_quorum"),
        data_dir=Path(data_dir) if data_dir else None,
        front=listen.address("front"),
        readiness=listen.address("readiness"),
        control=listen.address("control"),
        memory_mb=int(limits.number("memory_mb", 300, 16, 1 << 20)),
        max_fds=limits.integer("max_fds", 4096, 64, 1 << 24),
        disk_mb=limits.size("disk_mb", 1 << 30),
        tolerated_machines=top.table("fault_tolerance").integer("machines", 1, 0, 100),
        platform=platform.address("address"),
        platform_rate_per_s=platform.number("rate_per_s", 10.0, 0.0, 1e9),
        bounds=_bounds(top.table("bounds")),
    )


def _bounds(table: SettingsTable) -> Bounds:
    return Bounds(
        contact_ms=table.number("contact_ms", 4000, 1, 1e9),
        drain_ms=table.number("drain_ms", 3000, 1, 1e9),
        grace_s=table.number("grace_s", 6, 0.1, 1e6),
        config_apply_ms=table.number("config_apply_ms", 3000, 1, 1e9),
        status_s=table.number("status_s", 120, 0, 1e9),
        callback_s=table.number("callback_s", 5, 0, 1e9),
        visible_ms=table.number("visible_ms", 3000, 1, 1e9),
        ceiling_window_s=table.number("ceiling_window_s", 5, 0.01, 1e6),
        origin_rate_over=table.number("origin_rate_over", 1.1, 1.0, 100.0),
    )
