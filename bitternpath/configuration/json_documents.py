"""Decoding of JSON request bodies, and encoding of accepted documents for storage.

Every replica decodes the stored document. A body that any replica might fail to decode must therefore be
rejected before it is replicated: one with non-finite numbers, or nested beyond the parser's recursion limit.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping
from typing import Any

from bitternpath.configuration.errors import InvalidConfigurationError

MAX_NESTING_LEVELS = 32  # a deeper document might exceed the recursion limit on some replicas only

JsonObject = dict[str, Any]  # as returned by `json.loads`, including fields unknown to this program


def decode_document(body: bytes) -> JsonObject:
    """Decode the JSON object in a request's body.

    Raises:
        InvalidConfigurationError: not UTF-8, not JSON, not an object, nested too deeply, or with non-finite
            numbers.
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
    """Encode a validated document as UTF-8 JSON, for storage and sending."""
    return json.dumps(document, allow_nan=False).encode()


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is no number")


def _finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text} is too large")
    return number


def _check_nesting(document: JsonObject) -> None:
    """Check the nesting level by level, since recursion could itself overflow the stack."""
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
