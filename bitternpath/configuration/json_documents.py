"""JSON bodies of the operator's calls, and the bytes in which accepted documents are stored.

Every replica decodes the stored bytes again, so that a body must be refused before it is replicated if any
replica could fail on it: numbers that aren't finite and documents nested beyond the parser's recursion limit.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping
from typing import Any

from bitternpath.configuration.errors import InvalidConfigurationError

MAX_NESTING_LEVELS = 32  # a deeper document might be decoded on one replica and not on another

JsonObject = dict[str, Any]  # as `json.loads` returns it: the operator's fields, known or not


def decode_document(body: bytes) -> JsonObject:
    """Decode the JSON object in a request's body.

    Raises:
        InvalidConfigurationError: not UTF-8, not JSON, not an object, nested too deeply, or with numbers that
            aren't finite.
    """
    try:
        document = json.loads(
            body.decode("utf-8"), parse_constant=_reject_constant, parse_float=_finite_float
        )
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise InvalidConfigurationError("the body must be a JSON object")
    _check_nesting(document)
    return document


def encode_document(document: Mapping[str, Any]) -> bytes:
    """The bytes in which a validated document is stored and sent (UTF-8 JSON)."""
    return json.dumps(document, allow_nan=False).encode()


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is no number")


def _finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text} is too large")
    return number


def _check_nesting(document: JsonObject) -> None:
    """Walk the document level by level: recursion could itself overflow."""
    level: list[object] = [document]
    for _ in range(MAX_NESTING_LEVELS):
        level = [child for parent in level for child in _children(parent)]
        if not level:
            return
    raise InvalidConfigurationError(f"the body is nested deeper than {MAX_NESTING_LEVELS} levels")


def _children(value: object) -> Iterable[object]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
