"""The settings file of a process of the system (DEPLOY, "Settings of a process").

`BITTERNPATH_CONFIG` names a TOML file. Unknown fields are ignored; known ones are typed and bounded, and an
error says in one line what is wrong, where, and what is allowed.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
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
    top = _Section("", document)
    listen, limits, platform = top.section("listen"), top.section("limits"), top.section("cloud_api")
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
        max_fds=limits.whole("max_fds", 4096, 64, 1 << 24),
        disk_mb=limits.size("disk_mb", 1 << 30),
        tolerated_machines=top.section("fault_tolerance").whole("machines", 1, 0, 100),
        platform=platform.address("address"),
        platform_rate_per_s=platform.number("rate_per_s", 10.0, 0.0, 1e9),
        bounds=_bounds(top.section("bounds")),
    )


def _bounds(table: _Section) -> Bounds:
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


@dataclass(frozen=True, slots=True)
class _Section:
    """A table of the file. `prefix` stands before its keys in errors; "" for the file itself."""

    prefix: str
    values: Mapping[str, Any]

    def section(self, key: str) -> _Section:
        value = self.values.get(key, {})
        if not isinstance(value, dict):
            raise self._wrong(key, "must be a table")
        return _Section(f"{self.prefix}{key}.", value)

    def text(self, key: str, default: str | None = None) -> str:
        value = self.values.get(key, default)
        if value is None:
            raise self._wrong(key, "is missing; a text is wanted")
        if not isinstance(value, str):
            raise self._wrong(key, f"must be a text, not {value!r}")
        return value

    def ip(self, key: str) -> str:
        value = self.text(key)
        if not _is_ip(value):
            raise self._wrong(key, f"must be an IPv4 address, not {value!r}")
        return value

    def address(self, key: str) -> str:
        """`ip:port`, or "" where there is none."""
        value = self.text(key, "")
        if value and not _is_address(value):
            raise self._wrong(key, f"must be ip:port, not {value!r}")
        return value

    def addresses(self, key: str) -> tuple[str, ...]:
        value = self.values.get(key, [])
        if not isinstance(value, list):
            raise self._wrong(key, f"must be a list of ip:port, not {value!r}")
        for place, item in enumerate(value):
            if not isinstance(item, str) or not _is_address(item):
                raise self._wrong(f"{key}[{place}]", f"must be ip:port, not {item!r}")
        return tuple(value)

    def flag(self, key: str) -> bool:
        value = self.values.get(key, False)
        if not isinstance(value, bool):
            raise self._wrong(key, f"must be true or false, not {value!r}")
        return value

    def number(self, key: str, default: float, least: float, most: float) -> float:
        value = self.values.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise self._wrong(key, f"must be a number from {least:.12g} to {most:.12g}, not {value!r}")
        return float(value)

    def whole(self, key: str, default: int, least: int, most: int) -> int:
        value = self.number(key, default, least, most)
        if not value.is_integer():
            raise self._wrong(key, f"must be a whole number from {least} to {most}, not {value!r}")
        return int(value)

    def size(self, key: str, most: int) -> int:
        """Whole units, rounded down; 0 means that none is known, so less than one isn't taken for it."""
        value = self.number(key, 0, 0, most)
        if 0 < value < 1:
            raise self._wrong(key, f"must be 0 or a number from 1 to {most}, not {value!r}")
        return int(value)

    def ports(self, key: str) -> tuple[int, int]:
        value = self.values.get(key)
        if not isinstance(value, list) or len(value) != 2 or not all(_is_port(port) for port in value):
            raise self._wrong(key, "must be two port numbers, the lower one first")
        if value[0] > value[1]:
            raise self._wrong(key, "must be two port numbers, the lower one first")
        return value[0], value[1]

    def _wrong(self, key: str, what: str) -> SettingsError:
        return SettingsError(f"{self.prefix}{key}: {what}")


def _is_port(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 < value < 65536


def _is_ip(value: str) -> bool:
    try:
        IPv4Address(value)
    except ValueError:
        return False
    return True


def _is_address(value: str) -> bool:
    ip, _, port = value.rpartition(":")
    return _is_ip(ip) and port.isascii() and port.isdecimal() and _is_port(int(port))
