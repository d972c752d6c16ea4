"""The settings file of a process of the system (DEPLOY, "Settings of a process").

`BITTERNPATH_CONFIG` names a TOML file. Unknown fields are ignored; known ones are typed and bounded, and an
error says in one line what is wrong, where, and what is allowed.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

VARIABLE = "BITTERNPATH_CONFIG"


class SettingsError(ValueError):
    """The settings can't be used; the text says why, in one line."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the rules in force, as far as the program needs them (RULES)."""

    contact_ms: float
    drain_ms: float
    grace_s: float
    config_apply_ms: float
    status_s: float
    callback_s: float
    visible_ms: float
    ceiling_window_s: float
    origin_rate_over: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a process is told."""

    node_name: str
    role: str
    ip: str
    zone: str
    region: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]  # ip:port of control listeners
    bootstrap: bool
    counted: bool
    data_dir: Path | None
    front: str
    readiness: str
    control: str
    memory_mb: int
    max_fds: int
    disk_mb: int
    tolerated_machines: int
    platform: str  # address of the platform's list
    platform_rate_per_s: float
    bounds: Bounds

    @property
    def internal_address(self) -> str:
        """Where other nodes reach this one."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Internal addresses of the seeds: ports are the same on all machines."""
        return tuple(f"{seed.rpartition(':')[0]}:{self.internal_ports[0]}" for seed in self.seeds)


def settings_path() -> Path:
    """The file that the environment names."""
    name = os.environ.get(VARIABLE)
    if not name:
        raise SettingsError(f"{VARIABLE} isn't set: it must name the settings file")
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
    listen = _table(document, "listen")
    limits = _table(document, "limits")
    tolerance = _table(document, "fault_tolerance")
    platform = _table(document, "cloud_api")
    data_dir = _text(document, "data_dir", "")
    return Settings(
        node_name=_text(document, "node_name"),
        role=_text(document, "role", ""),
        ip=_text(document, "ip"),
        zone=_text(document, "zone", ""),
        region=_text(document, "region", ""),
        internal_ports=_ports(document),
        seeds=_texts(document, "seeds"),
        bootstrap=_flag(document, "bootstrap"),
        counted=_flag(document, "counts_for_quorum"),
        data_dir=Path(data_dir) if data_dir else None,
        front=_text(listen, "front", ""),
        readiness=_text(listen, "readiness", ""),
        control=_text(listen, "control", ""),
        memory_mb=int(_number(limits, "memory_mb", 300, 16, 1 << 20)),
        max_fds=int(_number(limits, "max_fds", 4096, 64, 1 << 24)),
        disk_mb=int(_number(limits, "disk_mb", 0, 0, 1 << 30)),
        tolerated_machines=int(_number(tolerance, "machines", 1, 0, 100)),
        platform=_text(platform, "address", ""),
        platform_rate_per_s=_number(platform, "rate_per_s", 10.0, 0.0, 1e9),
        bounds=_bounds(_table(document, "bounds")),
    )


def _bounds(table: Mapping[str, Any]) -> Bounds:
    return Bounds(
        contact_ms=_number(table, "contact_ms", 4000, 1, 1e9),
        drain_ms=_number(table, "drain_ms", 3000, 1, 1e9),
        grace_s=_number(table, "grace_s", 6, 0.1, 1e6),
        config_apply_ms=_number(table, "config_apply_ms", 3000, 1, 1e9),
        status_s=_number(table, "status_s", 120, 0, 1e9),
        callback_s=_number(table, "callback_s", 5, 0, 1e9),
        visible_ms=_number(table, "visible_ms", 3000, 1, 1e9),
        ceiling_window_s=_number(table, "ceiling_window_s", 5, 0.01, 1e6),
        origin_rate_over=_number(table, "origin_rate_over", 1.1, 1.0, 100.0),
    )


def _table(document: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    value = document.get(key, {})
    if not isinstance(value, dict):
        raise SettingsError(f"{key}: must be a table")
    return value


def _text(document: Mapping[str, Any], key: str, default: str | None = None) -> str:
    value = document.get(key, default)
    if value is None:
        raise SettingsError(f"{key}: is missing; a text is wanted")
    if not isinstance(value, str):
        raise SettingsError(f"{key}: must be a text, not {value!r}")
    return value


def _texts(document: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = document.get(key, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise SettingsError(f"{key}: must be a list of texts")
    return tuple(value)


def _flag(document: Mapping[str, Any], key: str) -> bool:
    value = document.get(key, False)
    if not isinstance(value, bool):
        raise SettingsError(f"{key}: must be true or false, not {value!r}")
    return value


def _number(document: Mapping[str, Any], key: str, default: float, least: float, most: float) -> float:
    value = document.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise SettingsError(f"{key}: must be a number from {least:g} to {most:g}, not {value!r}")
    return float(value)


def _ports(document: Mapping[str, Any]) -> tuple[int, int]:
    value = document.get("internal_port_range")
    fits = (
        isinstance(value, list)
        and len(value) == 2
        and all(isinstance(port, int) and 0 < port < 65536 for port in value)
        and value[0] <= value[1]
    )
    if not fits or value is None:
        raise SettingsError("internal_port_range: must be two port numbers, the lower one first")
    return value[0], value[1]
