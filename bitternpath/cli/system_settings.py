"""`bitternpath system check-config`: prints the settings of a process with their origins."""

from __future__ import annotations

import dataclasses
import tomllib
from pathlib import Path

from bitternpath.roles.settings import Settings, load_settings, settings_path
from bitternpath.roles.settings_reader import SettingsError

# Keys in the file for those fields of `Settings` whose names differ from their keys.
_FILE_KEYS = {
    "internal_ports": "internal_port_range",
    "counted": "counts_for_quorum",
    "front": "listen.front",
    "readiness": "listen.readiness",
    "control": "listen.control",
    "memory_mb": "limits.memory_mb",
    "max_fds": "limits.max_fds",
    "disk_mb": "limits.disk_mb",
    "tolerated_machines": "fault_tolerance.machines",
    "platform": "cloud_api.address",
    "platform_rate_per_s": "cloud_api.rate_per_s",
}


def print_settings(config: Path | None) -> bool:
    """Print each value with its origin; False if the file can't be used.

    Without `config`, the file is the one that the environment names.
    """
    try:
        path = config or settings_path()
        settings = load_settings(path)
        document = tomllib.loads(path.read_text("utf-8"))
    except SettingsError as error:
        print(f"wrong: {error}")
        return False
    for key, value in _values(settings):
        origin = str(path) if _is_set(document, key) else "default"
        print(f"{key} = {value!r}  ({origin})")
    return True


def _values(settings: Settings) -> list[tuple[str, object]]:
    """The key in the file and the value of each setting."""
    values: list[tuple[str, object]] = []
    for field in dataclasses.fields(settings):
        value = getattr(settings, field.name)
        if dataclasses.is_dataclass(value):
            values += [
                (f"bounds.{bound.name}", getattr(value, bound.name)) for bound in dataclasses.fields(value)
            ]
        else:
            values.append((_FILE_KEYS.get(field.name, field.name), value))
    return values


def _is_set(document: object, key: str) -> bool:
    """Whether a parsed file has a key; dots in a key separate tables."""
    for segment in key.split("."):
        if not isinstance(document, dict) or segment not in document:
            return False
        document = document[segment]
    return True
