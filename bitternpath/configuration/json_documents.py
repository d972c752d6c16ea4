"""JSON bodies of the operator's calls, and the bytes in which accepted documents are kept."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping
from typing import Any

from bitternpath.configuration.errors import InvalidConfiguration

MOST_NESTED = 32  # levels of a document; a deeper one could be read on one replica and not on another


def read_document(body: bytes) -> dict[str, Any]:
    """The JSON object in a request's body; raises `InvalidConfiguration`."""
    try:
        document = json.loads(body.decode("utf-8"), parse_constant=_no_number, parse_float=_finite)
    except (ValueError, RecursionError) as error:
        raise InvalidConfiguration(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise InvalidConfiguration("the body must be a JSON object")
    _check_nesting(document)
    return document


def encode_document(document: Mapping[str, Any]) -> bytes:
    """The bytes in which a checked document is kept and read back."""
    return json.dumps(document, allow_nan=False).encode()


def _no_number(name: str) -> float:
    raise ValueError(f"{name} is no number")


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text} is too large")
    return number


def _check_nesting(document: Any) -> None:
    level: list[Any] = [document]
    for _ in range(MOST_NESTED):
        level = [inner for outer in level for inner in _children(outer)]
        if not level:
            return
    raise InvalidConfiguration(f"the body is nested deeper than {MOST_NESTED} levels")


def _children(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
