"""`bitternpath system check-config`."""

from __future__ import annotations

import dataclasses
import tomllib
from pathlib import Path

from bitternpath.roles.settings import Settings, SettingsError, load_settings, settings_path

# Where fields of `Settings` stand in the file, where that isn't under their own name.
_PLACES = {
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
    """Print each value with its origin; False where the file can't be used."""
    try:
        path = config or settings_path()
        settings = load_settings(path)
        document = tomllib.loads(path.read_text("utf-8"))
    except SettingsError as error:
        print(f"wrong: {error}")
        return False
    for place, value in _values(settings):
        origin = str(path) if _stands_in(document, place) else "default"
        print(f"{place} = {value!r}  ({origin})")
    return True


def _values(settings: Settings) -> list[tuple[str, object]]:
    values: list[tuple[str, object]] = []
    for each in dataclasses.fields(settings):
        value = getattr(settings, each.name)
        if dataclasses.is_dataclass(value):
            values += [
                (f"bounds.{bound.name}", getattr(value, bound.name)) for bound in dataclasses.fields(value)
            ]
        else:
            values.append((_PLACES.get(each.name, each.name), value))
    return values


def _stands_in(document: object, place: str) -> bool:
    for key in place.split("."):
        if not isinstance(document, dict) or key not in document:
            return False
        document = document[key]
    return True
