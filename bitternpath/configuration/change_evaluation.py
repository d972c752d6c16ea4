"""Evaluation of a change request against a state, to a command to propose or an immediate result. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from bitternpath.configuration.change_requests import ChangeRequest
from bitternpath.configuration.commands import COMMANDS, ReplaceDocument
from bitternpath.configuration.errors import InvalidBaseVersionError, InvalidConfigurationError
from bitternpath.configuration.json_documents import JsonObject, decode_document, encode_document
from bitternpath.configuration.patches import apply_patch
from bitternpath.configuration.results import OperatorResult, ResultCode, operator_result
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.configuration.validation import parse_configuration


@dataclass(frozen=True, slots=True)
class ProposedChange:
    """A valid change of the current version.

    Attributes:
        version: version of the resulting document.
        command: encoded `ReplaceDocument`.
    """

    version: int
    command: bytes


def evaluate_change(
    state: ConfigurationState, request: ChangeRequest, digest: bytes
) -> ProposedChange | OperatorResult:
    """Evaluate a request, whose digest is `digest`, against the current state.

    A request that was accepted earlier is acknowledged again, even if other changes were accepted since.

    Raises:
        InvalidConfigurationError: the request or the resulting document is invalid.
    """
    accepted_version = state.accepted_version_of(digest)
    if accepted_version is not None:
        return operator_result(ResultCode.ACCEPTED, version=accepted_version)
    base = _base_version(request)
    if base != state.version:
        return _version_conflict(state, base)
    document = _resulting_document(state, request)
    command = ReplaceDocument(base, digest, encode_document(document))
    return ProposedChange(int(document["version"]), COMMANDS.encode(command))


def _base_version(request: ChangeRequest) -> int:
    try:
        return request.base_version()
    except InvalidBaseVersionError:
        raise InvalidConfigurationError("If-Match: must be the version that the change builds on") from None


def _version_conflict(state: ConfigurationState, base: int) -> OperatorResult:
    if state.may_have_evicted(base):
        return operator_result(ResultCode.OUTCOME_UNKNOWN, "too old to tell whether it was accepted")
    return operator_result(ResultCode.OTHER_VERSION, "another version is in force", version=state.version)


def _resulting_document(state: ConfigurationState, request: ChangeRequest) -> JsonObject:
    document: Mapping[str, Any] = decode_document(request.body)
    if request.method == "PATCH":
        if not state.document:
            raise InvalidConfigurationError("there is no configuration to change yet")
        document = apply_patch(state.raw, document)
    configuration = parse_configuration(document)
    if configuration.version <= state.version:
        raise InvalidConfigurationError(f"version: must be above {state.version}")
    return dict(document)
