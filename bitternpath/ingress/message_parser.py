"""Parses a client's request into a message, or into the response that rejects it. Pure."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from bitternpath.configuration.documents import Route
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.ingress.http_requests import RETRY_AFTER_S
from bitternpath.net.http1 import HOP_BY_HOP
from bitternpath.transport.records import Header, Message

DEFAULT_DEADLINE_MS = 1_000  # if the client names no deadline
MAX_DEADLINE_MS = 60_000  # upper bound for a client's deadline
RESPONSE_MARGIN_MS = 150  # the response is sent this long before the client's deadline
MAX_DELAY_MS = 30 * 24 * 3_600_000  # 30 days; longer delays are shortened to it

_ORDER_KEY = b"x-order-key"
_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_NUMBER = re.compile(rb"[0-9]{1,15}")
_CALLBACK_URL = re.compile(rb"http://[0-9]{1,3}(?:\.[0-9]{1,3}){3}(?::[0-9]{1,5})?(?:/[!-~]*)?")
# Headers that control how this node handles a message, or that are restored from the message's fields.
_CONSUMED_HEADERS = HOP_BY_HOP | frozenset(
    b"x-request-id x-deadline-ms x-delay-ms x-callback-url x-expect-instance".split()
)

_Headers = Mapping[bytes, Sequence[bytes]]  # values by name, in the order of the request


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as received."""

    method: bytes
    target: bytes
    headers: _Headers  # by canonical name
    body: bytes


@dataclass(frozen=True, slots=True)
class Origin:
    """Where and when a message was received."""

    node: str
    wall_ms: int  # Unix time in milliseconds


@dataclass(frozen=True, slots=True)
class ParsedMessage:
    """A message to be accepted."""

    message: Message
    wait_ms: int  # for which its client may wait for the node's result


@dataclass(frozen=True, slots=True)
class Rejection:
    """The response to a request that isn't accepted."""

    status: int
    reason: str
    retry_after_s: int | None = None  # None if a retry is useless


class BadHeaderError(ValueError):
    """A header that can't be parsed; the text names it. Caused by the client; a retry is useless."""


def parse_message(
    request: ClientRequest, routing: RoutingTable | None, origin: Origin
) -> ParsedMessage | Rejection:
    """Parse the message in a client's request (PROTOCOL, "Messages")."""
    if routing is None:
        return Rejection(503, "no configuration yet", RETRY_AFTER_S)
    headers = {name.lower(): values for name, values in request.headers.items()}
    if not request.target.startswith(b"/"):
        return Rejection(400, "the target must begin with /")
    try:
        request_id = _single_value(headers, b"x-request-id", _REQUEST_ID)
        host = b"".join(headers.get(b"host", ()))
        route = routing.match(_text(host), _text(request.target.partition(b"?")[0]))
        if not request_id:
            return Rejection(400, "X-Request-Id is missing")
        if route is None:
            return Rejection(404, "no such route")
        wait_ms = _wait_ms(_number(headers, b"x-deadline-ms", DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS))
        message = Message(
            request_id=_text(request_id),
            method=_text(request.method),
            host=_text(host),
            target=_text(request.target),
            headers=_forwarded_headers(headers, request.headers, route),
            order_key=_order_key(headers, route),
            route=route.name,
            accepted_version=routing.version,
            delay_ms=_number(headers, b"x-delay-ms", 0, MAX_DELAY_MS),
            callback_url=_callback_url(headers, route),
            origin=origin.node,
            accepted_wall_ms=origin.wall_ms,
            body=request.body,
        )
    except BadHeaderError as error:
        return Rejection(400, str(error))
    return ParsedMessage(message, wait_ms)


def _text(value: bytes) -> str:
    return value.decode("latin-1")


def _single_value(headers: _Headers, name: bytes, pattern: re.Pattern[bytes]) -> bytes:
    """The value of a header that may occur once; b"" if it is missing."""
    values = headers.get(name, ())
    if not values:
        return b""
    if len(values) > 1 or not pattern.fullmatch(values[0]):
        raise BadHeaderError(f"{_text(name)}: given twice or malformed")
    return values[0]


def _number(headers: _Headers, name: bytes, default: int, maximum: int) -> int:
    value = _single_value(headers, name, _NUMBER)
    return min(int(value), maximum) if value else default


def _wait_ms(deadline_ms: int) -> int:
    return max(deadline_ms - RESPONSE_MARGIN_MS, deadline_ms // 2)


def _order_key(headers: _Headers, route: Route) -> str:
    values = headers.get(_ORDER_KEY, ())
    if len(values) > 1:
        raise BadHeaderError("x-order-key: given twice")
    return _text(values[0]) if values and route.ordered else ""


def _callback_url(headers: _Headers, route: Route) -> str:
    return _text(_single_value(headers, b"x-callback-url", _CALLBACK_URL)) if route.callback_url else ""


def _forwarded_headers(headers: _Headers, original: _Headers, route: Route) -> tuple[Header, ...]:
    """The end-to-end headers, in the order and case in which the worker receives them."""
    dropped = _CONSUMED_HEADERS | _connection_options(headers.get(b"connection", ()))
    # A worker always receives the sender's key: from the message's field, or as one of its headers.
    dropped = dropped | {_ORDER_KEY} if route.ordered else dropped - {_ORDER_KEY}
    return tuple(
        Header(_text(name), _text(value))
        for name, values in original.items()
        if name.lower() not in dropped
        for value in values
    )


def _connection_options(values: Iterable[bytes]) -> frozenset[bytes]:
    return frozenset(option.strip().lower() for value in values for option in value.split(b","))
