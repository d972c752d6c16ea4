"""The operator's orders, decided one at a time by the owner of the configuration group.

An order is answered from the current state only after the owner has confirmed that it still owns the group
(read index); what changes the state is acknowledged once it is committed. The same order sent again is
acknowledged again, whatever was accepted in between. An order whose fate is open gets no refusal.
"""

from __future__ import annotations

import hashlib
import json
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

import logbook
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.configuration.documents import (
    InvalidConfiguration,
    apply_patch,
    parse_configuration,
    read_document,
)
from bitternpath.configuration.machine import COMMANDS, AcceptOrder, ConfigurationState

log = logbook.Logger("configuration")


class OrderCode(Enum):
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
    OrderCode.ACCEPTED: 200,
    OrderCode.CURRENT: 200,
    OrderCode.INVALID: 400,
    OrderCode.OTHER_VERSION: 412,
    OrderCode.NOT_OWNER: 503,
    OrderCode.FATE_OPEN: 503,
    OrderCode.NO_CONFIGURATION: 404,
    OrderCode.UNKNOWN_CALL: 404,
    OrderCode.UNKNOWN_NODE: 404,
    OrderCode.TOO_FEW_NODES: 409,
    OrderCode.RETIRING: 200,
}


@dataclass(frozen=True, slots=True)
class OrderResult:
    """How an order ended. `body` is JSON."""

    code: OrderCode
    body: bytes

    @property
    def status(self) -> int:
        """The HTTP status for the operator."""
        return _STATUS[self.code]

    @property
    def decided(self) -> bool:
        """False where another node should be asked."""
        return self.code not in (OrderCode.NOT_OWNER, OrderCode.FATE_OPEN)


def result(code: OrderCode, text: str = "", **fields: object) -> OrderResult:
    """A result with a small JSON body."""
    content: dict[str, object] = {"code": code.value, "result": code.name.lower(), **fields}
    if text:
        content["error"] = text
    return OrderResult(code, json.dumps(content).encode())


class ReplicaGroup(Protocol):
    """The configuration group, as far as orders need it."""

    def is_owner(self) -> bool:
        """Whether this node owns the group and has applied all before it."""

    def propose(self, command: bytes) -> Deferred[object]:
        """Commit and apply; fails where the node doesn't own the group (any more)."""

    def barrier(self) -> Deferred[None]:
        """Fires once ownership was confirmed after the call."""


@dataclass(frozen=True, slots=True)
class Order:
    """A change as the operator sent it."""

    method: str  # PUT or PATCH
    if_match: str
    body: bytes

    def digest(self) -> bytes:
        """Tells this order apart from all others."""
        summed = hashlib.blake2b(digest_size=24)
        for part in (self.method.encode(), self.if_match.strip().strip('"').encode(), self.body):
            summed.update(len(part).to_bytes(8, "big"))
            summed.update(part)
        return summed.digest()


class OrderDesk:
    """Decides orders on the owner. One at a time: the next begins when the one before has its result."""

    def __init__(self, state: ConfigurationState, group: ReplicaGroup) -> None:
        self.state, self.group = state, group
        self._waiting: deque[tuple[Order, Deferred[OrderResult]]] = deque()
        self._busy = False

    def submit(self, order: Order) -> Deferred[OrderResult]:
        """Decide a change; never fails."""
        answer: Deferred[OrderResult] = Deferred()
        self._waiting.append((order, answer))
        self._next()
        return answer

    def read(self) -> Deferred[OrderResult]:
        """The document in force, confirmed; never fails."""
        if not self.group.is_owner():
            return _done(result(OrderCode.NOT_OWNER, "this node doesn't own the configuration"))
        return self._confirmed(self._current)

    def _current(self) -> OrderResult:
        if not self.state.document:
            return result(OrderCode.NO_CONFIGURATION, "no configuration has been accepted yet")
        return OrderResult(OrderCode.CURRENT, self.state.document)

    def _next(self) -> None:
        if self._busy or not self._waiting:
            return
        self._busy = True
        order, answer = self._waiting.popleft()
        self._decide(order).addCallback(self._finish, answer)

    def _finish(self, decided: OrderResult, answer: Deferred[OrderResult]) -> None:
        self._busy = False
        answer.callback(decided)
        self._next()

    def _decide(self, order: Order) -> Deferred[OrderResult]:
        if not self.group.is_owner():
            return _done(result(OrderCode.NOT_OWNER, "this node doesn't own the configuration"))
        digest = order.digest()
        known = self.state.accepted_as(digest)
        if known is not None:
            return _done(result(OrderCode.ACCEPTED, version=known))
        checked = self._check(order)
        if isinstance(checked, OrderResult):
            refusal = checked
            return self._confirmed(lambda: refusal)
        command = AcceptOrder(self.state.version, digest, json.dumps(checked).encode())
        decided: Deferred[OrderResult] = Deferred()
        version = int(checked["version"])
        self.group.propose(COMMANDS.encode(command)).addCallbacks(
            lambda applied: decided.callback(_committed(bool(applied), version)),
            lambda failure: decided.callback(_failed(failure)),
        )
        return decided

    def _check(self, order: Order) -> dict[str, Any] | OrderResult:
        """The document that the order asks for, or its refusal."""
        try:
            base = _base_version(order.if_match)
        except ValueError:
            return result(OrderCode.INVALID, "If-Match: must be the version that the change builds on")
        if base != self.state.version:
            return result(OrderCode.OTHER_VERSION, "another version is in force", version=self.state.version)
        try:
            return self._document(order)
        except InvalidConfiguration as error:
            return result(OrderCode.INVALID, str(error))

    def _document(self, order: Order) -> dict[str, Any]:
        document: Mapping[str, Any] = read_document(order.body)
        if order.method == "PATCH":
            if not self.state.document:
                raise InvalidConfiguration("there is no configuration to change yet")
            document = apply_patch(self.state.raw, document)
        configuration = parse_configuration(document)
        if configuration.version <= self.state.version:
            raise InvalidConfiguration(f"version: must be above {self.state.version}")
        return dict(document)

    def _confirmed(self, answer: Callable[[], OrderResult]) -> Deferred[OrderResult]:
        """An answer from the state, once ownership is confirmed."""
        decided: Deferred[OrderResult] = Deferred()
        self.group.barrier().addCallbacks(
            lambda _: decided.callback(answer()),
            lambda failure: decided.callback(result(OrderCode.NOT_OWNER, str(failure.value))),
        )
        return decided


def _base_version(if_match: str) -> int:
    text = if_match.strip().strip('"')
    return int(text) if text else 0


def _committed(applied: bool, version: int) -> OrderResult:
    if applied:
        log.info("event=configuration_accepted version={}", version)
        return result(OrderCode.ACCEPTED, version=version)
    return result(OrderCode.FATE_OPEN, "the order met another one")


def _failed(failure: Failure) -> OrderResult:
    return result(OrderCode.FATE_OPEN, f"ownership was lost: {failure.value}")


def _done(decided: OrderResult) -> Deferred[OrderResult]:
    answer: Deferred[OrderResult] = Deferred()
    answer.callback(decided)
    return answer
