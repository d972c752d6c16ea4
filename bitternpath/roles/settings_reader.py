"""Typed access to the tables of a settings file.

Each error states in one line which key is wrong, why, and what is allowed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any


class SettingsError(ValueError):
    """The settings can't be used; the text gives the reason, in one line.

    Caused by the operator. A restart helps only once the file has been corrected.
    """


@dataclass(frozen=True, slots=True)
class SettingsTable:
    """A table of the settings file.

    Each method reads one key and checks the type of its value; all raise `SettingsError`. Bounds of numbers
    are inclusive.
    """

    prefix: str  # precedes the keys in errors; "" for the top level of the file
    values: Mapping[str, Any]

    def table(self, key: str) -> SettingsTable:
        """The table under a key; an empty one if it is missing."""
        value = self.values.get(key, {})
        if not isinstance(value, dict):
            raise self._error(key, "must be a table")
        return SettingsTable(f"{self.prefix}{key}.", value)

    def text(self, key: str, default: str | None = None) -> str:
        """A string; required if there is no default."""
        value = self.values.get(key, default)
        if value is None:
            raise self._error(key, "is missing; a text is wanted")
        if not isinstance(value, str):
            raise self._error(key, f"must be a text, not {value!r}")
        return value

    def ip(self, key: str) -> str:
        """An IPv4 address; required."""
        value = self.text(key)
        if not _is_ip(value):
            raise self._error(key, f"must be an IPv4 address, not {value!r}")
        return value

    def address(self, key: str) -> str:
        """`ip:port`; "" if it is missing."""
        value = self.text(key, "")
        if value and not _is_address(value):
            raise self._error(key, f"must be ip:port, not {value!r}")
        return value

    def addresses(self, key: str) -> tuple[str, ...]:
        """A list of `ip:port`; empty if it is missing."""
        value = self.values.get(key, [])
        if not isinstance(value, list):
            raise self._error(key, f"must be a list of ip:port, not {value!r}")
        for index, item in enumerate(value):
            if not isinstance(item, str) or not _is_address(item):
                raise self._error(f"{key}[{index}]", f"must be ip:port, not {item!r}")
        return tuple(value)

    def flag(self, key: str) -> bool:
        """A boolean; false if it is missing."""
        value = self.values.get(key, False)
        if not isinstance(value, bool):
            raise self._error(key, f"must be true or false, not {value!r}")
        return value

    def number(self, key: str, default: float, minimum: float, maximum: float) -> float:
        """An integer or a float, within bounds."""
        value = self.values.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
            raise self._error(key, f"must be a number from {minimum:.12g} to {maximum:.12g}, not {value!r}")
        return float(value)

    def integer(self, key: str, default: int, minimum: int, maximum: int) -> int:
        """An integer, or a float without a fraction, within bounds."""
        value = self.number(key, default, minimum, maximum)
        if not value.is_integer():
            raise self._error(key, f"must be a whole number from {minimum} to {maximum}, not {value!r}")
        return int(value)

    def size(self, key: str, maximum: int) -> int:
        """A number of units, rounded down.

        0 means that the size is unknown, so a fraction of one unit is refused.
        """
        value = self.number(key, 0, 0, maximum)
        if 0 < value < 1:
            raise self._error(key, f"must be 0 or a number from 1 to {maximum}, not {value!r}")
        return int(value)

    def ports(self, key: str) -> tuple[int, int]:
        """The first and the last port of a range; required."""
        value = self.values.get(key)
        match value:
            case [first, last] if _is_port(first) and _is_port(last) and first <= last:
                return first, last
        raise self._error(key, "must be two port numbers, the lower one first")

    def _error(self, key: str, problem: str) -> SettingsError:
        return SettingsError(f"{self.prefix}{key}: {problem}")


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
