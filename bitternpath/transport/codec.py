"""Avro encoding of typed records.

A record is a dataclass or a `msgspec.Struct` whose fields are annotated with `int`, `float`, `bool`, `str`,
`bytes`, another record, `T | None`, `tuple[T, ...]`, or an `IntEnum`. `RecordCodec` derives the Avro schema
from the annotations (fastavro, schemaless binary encoding), so that the class is the one definition of a
record. A schema is not sent along: all nodes of a system run the same revision.
"""

from __future__ import annotations

import dataclasses
import io
import types
import typing
from collections.abc import Callable
from enum import IntEnum
from functools import cached_property
from typing import Any

import msgspec
from fastavro import parse_schema, schemaless_reader, schemaless_writer

_PRIMITIVES: dict[Any, str] = {int: "long", float: "double", bool: "boolean", str: "string", bytes: "bytes"}

Converter = Callable[[Any], Any]


class CodecError(ValueError):
    """Bytes that are not an encoded record, or a class that cannot be one."""


def _identity(value: Any) -> Any:
    return value


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldType:
    """Avro schema of a field's type, and the conversions between Python's values and Avro's."""

    schema: Any
    to_avro: Converter
    from_avro: Converter


class RecordCodec:
    """Encodes and decodes one record class.

    The schema and the conversions are made when they are first used: a process needs few of them, and none
    while it starts.
    """

    def __init__(self, record: type) -> None:
        self.record = record

    @cached_property
    def schema(self) -> Any:
        """The Avro schema, as fastavro wants it."""
        return parse_schema(_record_schema(self.record, {}))

    @cached_property
    def _to_avro(self) -> Converter:
        return _record_to_avro(self.record)

    @cached_property
    def _from_avro(self) -> Converter:
        return _record_from_avro(self.record)

    def encode(self, value: Any) -> bytes:
        """The Avro bytes of a record."""
        buffer = io.BytesIO()
        schemaless_writer(buffer, self.schema, self._to_avro(value))
        return buffer.getvalue()

    def decode(self, data: bytes | memoryview) -> Any:
        """The record that `encode` turned into `data`; raises `CodecError`."""
        try:
            return self._from_avro(schemaless_reader(io.BytesIO(data), self.schema, None))
        except (EOFError, IndexError, UnicodeDecodeError, ValueError, TypeError, StopIteration) as error:
            raise CodecError(f"{self.record.__name__}: {error!r}") from error


class RecordSet:
    """Several record classes, each told apart by the number of its place: one byte before the Avro bytes."""

    def __init__(self, *records: type) -> None:
        if len(records) > 255:
            raise CodecError("at most 255 records in a set")
        self._codecs = [RecordCodec(record) for record in records]
        self._numbers = {record: number for number, record in enumerate(records)}

    def encode(self, value: Any) -> bytes:
        """One byte for the class, then the record."""
        number = self._numbers[type(value)]
        return bytes((number,)) + self._codecs[number].encode(value)

    def decode(self, data: bytes | memoryview) -> Any:
        """The record that `encode` turned into `data`; raises `CodecError`."""
        if not data or data[0] >= len(self._codecs):
            raise CodecError("unknown kind of record")
        return self._codecs[data[0]].decode(data[1:])


def _fields_of(record: type) -> tuple[tuple[str, Any], ...]:
    hints = typing.get_type_hints(record)
    if dataclasses.is_dataclass(record):
        names = [field.name for field in dataclasses.fields(record)]
    elif issubclass(record, msgspec.Struct):
        names = list(record.__struct_fields__)
    else:
        raise CodecError(f"{record.__name__} is no record")
    return tuple((name, hints[name]) for name in names)


def _is_record(kind: Any) -> bool:
    return isinstance(kind, type) and (dataclasses.is_dataclass(kind) or issubclass(kind, msgspec.Struct))


def _record_schema(record: type, named: dict[str, None]) -> Any:
    if record.__name__ in named:
        return record.__name__
    named[record.__name__] = None
    fields = [{"name": name, "type": _schema_of(kind, named)} for name, kind in _fields_of(record)]
    return {"type": "record", "name": record.__name__, "fields": fields}


def _schema_of(kind: Any, named: dict[str, None]) -> Any:
    if kind in _PRIMITIVES:
        return _PRIMITIVES[kind]
    if _is_record(kind):
        return _record_schema(kind, named)
    if isinstance(kind, type) and issubclass(kind, IntEnum):
        return "int"
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return {"type": "array", "items": _schema_of(arguments[0], named)}
    if typing.get_origin(kind) in (types.UnionType, typing.Union) and len(arguments) == 2:
        inner = next(argument for argument in arguments if argument is not type(None))
        return ["null", _schema_of(inner, named)]
    raise CodecError(f"no Avro type for {kind!r}")


def _to_avro(kind: Any) -> Converter:
    if _is_record(kind):
        return _record_to_avro(kind)
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) is tuple:
        inner = _to_avro(arguments[0])
        return list if inner is _identity else lambda values: [inner(value) for value in values]
    if arguments:
        inner = _to_avro(next(argument for argument in arguments if argument is not type(None)))
        return inner if inner is _identity else lambda value: None if value is None else inner(value)
    return _identity


def _from_avro(kind: Any) -> Converter:
    if _is_record(kind):
        return _record_from_avro(kind)
    if isinstance(kind, type) and issubclass(kind, IntEnum):
        return kind
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) is tuple:
        inner = _from_avro(arguments[0])
        return tuple if inner is _identity else lambda values: tuple([inner(value) for value in values])
    if arguments:
        inner = _from_avro(next(argument for argument in arguments if argument is not type(None)))
        return inner if inner is _identity else lambda value: None if value is None else inner(value)
    return _identity


def _record_to_avro(record: type) -> Converter:
    converters = [(name, _to_avro(kind)) for name, kind in _fields_of(record)]

    def convert(value: Any) -> dict[str, Any]:
        return {name: converter(getattr(value, name)) for name, converter in converters}

    return convert


def _record_from_avro(record: type) -> Converter:
    converters = [(name, _from_avro(kind)) for name, kind in _fields_of(record)]

    def convert(value: dict[str, Any]) -> Any:
        return record(*[converter(value[name]) for name, converter in converters])

    return convert
