"""Values for records, built from the order and the types of the fields alone.

Leaves are numbered from 1 in the order of the fields, depth first, and a leaf's value follows from its number
and its type. So the values stay the same through any renaming of classes and fields, and also where fields
that follow one another become a record of their own.
"""

from __future__ import annotations

import dataclasses
import types
import typing
from enum import Enum
from typing import Any

import msgspec


class Sampler:
    """Builds one value. `complete`: optional parts are there and sequences have two items."""

    def __init__(self, *, complete: bool) -> None:
        self._complete = complete
        self._leaves = 0

    def record(self, kind: type) -> Any:
        """A record of that class."""
        return kind(*[self._value(each) for each in field_types(kind)])

    def _value(self, kind: Any) -> Any:
        arguments = typing.get_args(kind)
        origin = typing.get_origin(kind)
        if origin in (types.UnionType, typing.Union):
            return self._one_of(arguments)
        if origin is tuple and arguments[-1] is not Ellipsis:
            return tuple(self._value(each) for each in arguments)
        if origin is frozenset:  # of one item: the order of more would differ from process to process
            return frozenset([self._value(arguments[0])] * self._complete)
        if origin in (tuple, list):
            return origin([self._value(arguments[0]) for _ in range(2 * self._complete)])
        if origin is dict:
            return {self._value(arguments[0]): self._value(arguments[1]) for _ in range(2 * self._complete)}
        if is_record(kind):
            return self.record(kind)
        return self._leaf(kind)

    def _one_of(self, kinds: tuple[Any, ...]) -> Any:
        if type(None) in kinds and not self._complete:
            return None
        left = [each for each in kinds if each is not type(None)]
        return self._value(min(left, key=_order_in_union))

    def _leaf(self, kind: Any) -> Any:
        self._leaves += 1
        number = self._leaves
        if kind is bool:
            return number % 2 == 0
        if kind is int:
            return 0 if not self._complete else 37 * number
        if kind is float:
            return number + 0.25
        if kind is str:
            return f"text {number} \u00e9" if self._complete else ""
        if kind is bytes:
            return b"\x00\xffbytes %d" % number if self._complete else b""
        if kind is msgspec.Raw:
            return msgspec.Raw(b"\xc0")
        members = enum_members(kind)
        return members[number % len(members)]


def _order_in_union(kind: Any) -> str:
    """By what is sent to tell the classes of a union apart, where anything is."""
    config = getattr(kind, "__struct_config__", None)
    return f"{config.tag}" if config is not None else f"{kind.__name__}"


def sample(kind: type, *, complete: bool) -> Any:
    """The value of a record's class that its bytes were pinned with."""
    return Sampler(complete=complete).record(kind)


def is_record(kind: Any) -> bool:
    """Whether a type is a class with fields."""
    return isinstance(kind, type) and (dataclasses.is_dataclass(kind) or issubclass(kind, msgspec.Struct))


def field_types(kind: type) -> list[Any]:
    """Types of the fields of a record's class, in order."""
    hints = typing.get_type_hints(kind)
    if dataclasses.is_dataclass(kind):
        return [hints[field.name] for field in dataclasses.fields(kind)]
    assert issubclass(kind, msgspec.Struct)
    return [hints[name] for name in kind.__struct_fields__]


def field_values(value: Any) -> list[Any]:
    """Values of the fields of a record, in order."""
    if dataclasses.is_dataclass(value):
        return [getattr(value, field.name) for field in dataclasses.fields(value)]
    return [getattr(value, name) for name in value.__struct_fields__]


def enum_members(kind: type[Enum]) -> list[Any]:
    """Members, by what is stored or sent of them."""
    return sorted(kind, key=lambda member: member.value)


def enum_values(kind: Any, found: dict[type, list[Any]] | None = None) -> dict[type, list[Any]]:
    """Values, in the order of their definition, of all enums that a type leads to."""
    found = {} if found is None else found
    if isinstance(kind, type) and issubclass(kind, Enum):
        found.setdefault(kind, [member.value for member in kind])
    elif is_record(kind):
        for each in field_types(kind):
            enum_values(each, found)
    for each in typing.get_args(kind):
        enum_values(each, found)
    return found


def leaf_names(kind: Any, name: str = "") -> list[str]:
    """Names of the fields that aren't records themselves, in order, depth first."""
    if is_record(kind):
        hints = typing.get_type_hints(kind)
        names = (
            [field.name for field in dataclasses.fields(kind)]
            if dataclasses.is_dataclass(kind)
            else list(kind.__struct_fields__)
        )
        return [leaf for each in names for leaf in leaf_names(hints[each], each)]
    inner = [each for each in typing.get_args(kind) if is_record(each)]
    if inner:
        return leaf_names(min(inner, key=_order_in_union))
    return [name]


def enum_names(kind: Any) -> dict[str, dict[str, str]]:
    """Names of the members by their values, of all enums that a type leads to, in the order of the fields."""
    return {
        str(place): {str(member.value): member.name for member in each}
        for place, each in enumerate(enum_values(kind))
    }


def moved(before: list[str], after: list[str]) -> list[str]:
    """Names that stand at another place than they did; new names are none of these."""
    places: dict[str, set[int]] = {}
    for place, name in enumerate(before):
        places.setdefault(name, set()).add(place)
    return [name for place, name in enumerate(after) if name in places and place not in places[name]]


def union_members(union: Any) -> list[Any]:
    """The classes of a union of tagged records, by their tags."""
    return sorted(typing.get_args(union), key=_order_in_union)


def tag_of(kind: Any) -> str:
    """What is sent to tell a class of a union."""
    return str(kind.__struct_config__.tag)
