"""Results of the operator's calls: codes, HTTP statuses, and JSON bodies (docs/ERRORS.md)."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum


class ResultCode(Enum):
    """Numbered results of the operator's calls. Responses contain the number and the `wire_name`."""

    ACCEPTED = 1000
    """The change is committed."""
    CURRENT = 1001
    """The current configuration, in response to a read."""
    INVALID = 1100
    """The change violates the format: the operator's fault, and a retry doesn't help."""
    OTHER_VERSION = 1101
    """The change isn't based on the current version: the operator's fault, and a retry doesn't help."""
    NOT_OWNER = 1200
    """The owner of the configuration wasn't reached. Nothing was changed, and a retry helps."""
    OUTCOME_UNKNOWN = 1201
    """The change may or may not be committed. An unchanged retry returns its result."""
    NO_CONFIGURATION = 1202
    """No configuration has been accepted yet."""
    UNKNOWN_CALL = 1203
    """Unknown path or method."""
    UNKNOWN_NODE = 1300
    """Unknown storage node."""
    TOO_FEW_NODES = 1301
    """Too few storage nodes would remain after a retirement."""
    RETIRING = 1302
    """The retirement was accepted, or its state was requested."""

    @property
    def wire_name(self) -> str:
        """The `result` in a JSON body. Operators' programs compare it, so renamed members must keep it."""
        return _WIRE_NAMES.get(self, self.name.lower())


_WIRE_NAMES = {ResultCode.OUTCOME_UNKNOWN: "fate_open"}

_HTTP_STATUS = {
    ResultCode.ACCEPTED: 200,
    ResultCode.CURRENT: 200,
    ResultCode.INVALID: 400,
    ResultCode.OTHER_VERSION: 412,
    ResultCode.NOT_OWNER: 503,
    ResultCode.OUTCOME_UNKNOWN: 503,
    ResultCode.NO_CONFIGURATION: 404,
    ResultCode.UNKNOWN_CALL: 404,
    ResultCode.UNKNOWN_NODE: 404,
    ResultCode.TOO_FEW_NODES: 409,
    ResultCode.RETIRING: 200,
}


@dataclass(frozen=True, slots=True)
class OperatorResult:
    """The result of a call, as sent to the operator.

    Attributes:
        code: the result code.
        body: the response's JSON body.
    """

    code: ResultCode
    body: bytes

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return _HTTP_STATUS[self.code]

    @property
    def decided(self) -> bool:
        """Whether the result is final; if not, the operator should try another node."""
        return self.code not in (ResultCode.NOT_OWNER, ResultCode.OUTCOME_UNKNOWN)


def operator_result(code: ResultCode, error: str = "", **fields: object) -> OperatorResult:
    """A result with a small JSON body: the code, its name, `fields`, and an error message if there is one."""
    content: dict[str, object] = {"code": code.value, "result": code.wire_name, **fields}
    if error:
        content["error"] = error
    return OperatorResult(code, json.dumps(content).encode())


def not_owner(reason: str = "") -> OperatorResult:
    """The result that makes the operator try another node. Nothing was changed."""
    return operator_result(ResultCode.NOT_OWNER, reason or "this node doesn't own the configuration")
