"""Results of the operator's calls: codes, HTTP statuses, and JSON bodies."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum


class ResultCode(Enum):
    """Results of an order; the numbers stand in docs/ERRORS.md."""

    ACCEPTED = 1000
    CURRENT = 1001  # the answer to a read
    INVALID = 1100
    OTHER_VERSION = 1101
    NOT_OWNER = 1200
    FATE_OPEN = 1201
    NO_CONFIGURATION = 1202
    UNKNOWN_CALL = 1203
    UNKNOWN_NODE = 1300
    TOO_FEW_NODES = 1301
    RETIRING = 1302


_STATUS = {
    ResultCode.ACCEPTED: 200,
    ResultCode.CURRENT: 200,
    ResultCode.INVALID: 400,
    ResultCode.OTHER_VERSION: 412,
    ResultCode.NOT_OWNER: 503,
    ResultCode.FATE_OPEN: 503,
    ResultCode.NO_CONFIGURATION: 404,
    ResultCode.UNKNOWN_CALL: 404,
    ResultCode.UNKNOWN_NODE: 404,
    ResultCode.TOO_FEW_NODES: 409,
    ResultCode.RETIRING: 200,
}


@dataclass(frozen=True, slots=True)
class OperatorResult:
    """How an order ended. `body` is JSON."""

    code: ResultCode
    body: bytes

    @property
    def status(self) -> int:
        """The HTTP status for the operator."""
        return _STATUS[self.code]

    @property
    def decided(self) -> bool:
        """False where another node should be asked."""
        return self.code not in (ResultCode.NOT_OWNER, ResultCode.FATE_OPEN)


def operator_result(code: ResultCode, text: str = "", **fields: object) -> OperatorResult:
    """A result with a small JSON body."""
    content: dict[str, object] = {"code": code.value, "result": code.name.lower(), **fields}
    if text:
        content["error"] = text
    return OperatorResult(code, json.dumps(content).encode())


def not_owner(reason: str = "") -> OperatorResult:
    """Another node should be asked; nothing was changed."""
    return operator_result(ResultCode.NOT_OWNER, reason or "this node doesn't own the configuration")
