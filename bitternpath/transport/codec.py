"""Avro encoding of typed records.

A record is a dataclass or a `msgspec.Struct` whose fields are annotated with `int`, `float`, `bool`, `str`,
`bytes`, another record, `T | None`, `tuple[T, ...]`, or an `IntEnum`. `RecordCodec` derives the Avro schema
from the annotations (fastavro, schemaless binary encoding), so that the class is the only definition of a
record. Schemas are neither sent nor stored: the encoding depends on the order and the types of the fields,
not on their names. Nodes of a system that run different revisions must agree on both.
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

from bitternpath.transport.errors import CodecError

MAX_RECORDS_IN_SET = 255  # the index of a record's class takes one byte

_PRIMITIVES: dict[Any, str] = {int: "long", float: "double", bool: "boolean", str: "string", bytes: "bytes"}

Converter = Callable[[Any], Any]  # between a field's Python value and its Avro value


class RecordCodec:
    """Encodes and decodes one record class.

    The schema and the conversions are built on first use: a process needs few of them, and none while it
    starts.
    """

    def __init__(self, record: type) -> None:
        """`record` is the class."""
        self.record = record

    @cached_property
    def schema(self) -> Any:
        """The Avro schema as parsed by fastavro; raises `CodecError` if the class can't be a record."""
        return parse_schema(_record_schema(self.record, {}))

    @cached_property
    def _to_avro(self) -> Converter:
        return _record_to_avro(self.record)

    @cached_property
    def _from_avro(self) -> Converter:
        return _record_from_avro(self.record)

    def encode(self, value: Any) -> bytes:
        """Encode a record as Avro bytes."""
        buffer = io.BytesIO()
        schemaless_writer(buffer, self.schema, self._to_avro(value))
        return buffer.getvalue()

    def decode(self, data: bytes | memoryview) -> Any:
        """Decode a record from `data`; raises `CodecError`."""
        try:
            return self._from_avro(schemaless_reader(io.BytesIO(data), self.schema, None))
        except (EOFError, IndexError, UnicodeDecodeError, ValueError, TypeError, StopIteration) as error:
            raise CodecError(f"{self.record.__name__}: {error!r}") from error


class RecordSet:
    """Several record classes, distinguished by one byte before the Avro bytes: the index of the class."""

    def __init__(self, *records: type) -> None:
        """`records` are the classes; their order is part of the encoding."""
        if len(records) > MAX_RECORDS_IN_SET:
            raise CodecError(f"at most {MAX_RECORDS_IN_SET} records in a set")
        self._codecs = [RecordCodec(record) for record in records]
        self._numbers = {record: number for number, record in enumerate(records)}

    def encode(self, value: Any) -> bytes:
        """Encode a record, preceded by one byte for its class."""
        number = self._numbers[type(value)]
        return bytes((number,)) + self._codecs[number].encode(value)

    def decode(self, data: bytes | memoryview) -> Any:
        """Decode a record from `data`; raises `CodecError`."""
        if not data or data[0] >= len(self._codecs):
            raise CodecError("unknown kind of record")
        return self._codecs[data[0]].decode(data[1:])


def _fields_of(record: type) -> tuple[tuple[str, Any], ...]:
    """The name and annotation of each field, in order."""
    hints = typing.get_type_hints(record)
    if dataclasses.is_dataclass(record):
        names = [field.name for field in dataclasses.fields(record)]
    elif issubclass(record, msgspec.Struct):
        names = list(record.__struct_fields__)
    else:
        raise CodecError(f"{record.__name__} is not a record")
    return tuple((name, hints[name]) for name in names)


def _is_record(annotation: Any) -> bool:
    return isinstance(annotation, type) and (
        dataclasses.is_dataclass(annotation) or issubclass(annotation, msgspec.Struct)
    )


def _is_enum(annotation: Any) -> bool:
    return isinstance(annotation, type) and issubclass(annotation, IntEnum)


def _is_optional(annotation: Any) -> bool:
    is_union = typing.get_origin(annotation) in (types.UnionType, typing.Union)
    return is_union and len(typing.get_args(annotation)) == 2


def _is_array(annotation: Any) -> bool:
    arguments = typing.get_args(annotation)
    return typing.get_origin(annotation) is tuple and len(arguments) == 2 and arguments[1] is Ellipsis


def _optional_type(annotation: Any) -> Any:
    """The `T` of `T | None`."""
    return next(argument for argument in typing.get_args(annotation) if argument is not type(None))


def _record_schema(record: type, defined: dict[str, None]) -> Any:
    """The schema of a record; `defined` has the earlier records, to which Avro refers by name."""
    if record.__name__ in defined:
        return record.__name__
    defined[record.__name__] = None
    fields = [
        {"name": name, "type": _schema_for(annotation, defined)} for name, annotation in _fields_of(record)
    ]
    return {"type": "record", "name": record.__name__, "fields": fields}


def _schema_for(annotation: Any, defined: dict[str, None]) -> Any:
    if annotation in _PRIMITIVES:
        return _PRIMITIVES[annotation]
    if _is_record(annotation):
        return _record_schema(annotation, defined)
    if _is_enum(annotation):
        return "int"
    if _is_array(annotation):
        return {"type": "array", "items": _schema_for(typing.get_args(annotation)[0], defined)}
    if _is_optional(annotation):
        return ["null", _schema_for(_optional_type(annotation), defined)]
    raise CodecError(f"no Avro type for {annotation!r}")


def _identity(value: Any) -> Any:
    return value


def _to_avro(annotation: Any) -> Converter:
    if _is_record(annotation):
        return _record_to_avro(annotation)
    if _is_array(annotation):
        convert_item = _to_avro(typing.get_args(annotation)[0])
        if convert_item is _identity:
            return list
        return lambda values: [convert_item(value) for value in values]
    if _is_optional(annotation):
        return _optional_converter(_to_avro(_optional_type(annotation)))
    return _identity


def _from_avro(annotation: Any) -> Converter:
    if _is_record(annotation):
        return _record_from_avro(annotation)
    if _is_enum(annotation):
        return typing.cast("Converter", annotation)
    if _is_array(annotation):
        convert_item = _from_avro(typing.get_args(annotation)[0])
        if convert_item is _identity:
            return tuple
        return lambda values: tuple([convert_item(value) for value in values])
    if _is_optional(annotation):
        return _optional_converter(_from_avro(_optional_type(annotation)))
    return _identity


def _optional_converter(convert: Converter) -> Converter:
    if convert is _identity:
        return _identity
    return lambda value: None if value is None else convert(value)


def _record_to_avro(record: type) -> Converter:
    converters = [(name, _to_avro(annotation)) for name, annotation in _fields_of(record)]

    def convert(value: Any) -> dict[str, Any]:
        return {name: converter(getattr(value, name)) for name, converter in converters}

    return convert


def _record_from_avro(record: type) -> Converter:
    converters = [(name, _from_avro(annotation)) for name, annotation in _fields_of(record)]

    def convert(value: dict[str, Any]) -> Any:
        return record(*[converter(value[name]) for name, converter in converters])

    return convert
