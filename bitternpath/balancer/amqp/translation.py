"""Translation between AMQP messages and request payloads (see docs/operate/amqp.md). No I/O.

| HTTP | AMQP |
| --- | --- |
| path `/CLASS` | routing key `CLASS` |
| any longer path, or a query | header `x-target` |
| `X-Call-Id` | `message-id` |
| `X-Budget-Ms` | `expiration` |
| `X-Route-Hash`, `X-Again`, `X-Call-Info` | headers of the same names in lower case |
| `Content-Type` | `content-type` |
| body | body |

Other headers, content-encoding, type, app-id and priority reach subscribers unchanged; HTTP endpoints do not
get them.
"""

from __future__ import annotations

import re
from typing import Any

from bitternpath.balancer.amqp.frames import Properties
from bitternpath.balancer.core.requests import MAX_ID_LENGTH, Payload, RequestPayload

FORWARDED_HEADERS = ("x-route-hash", "x-again", "x-call-info")
_ID = re.compile(rf"[\x21-\x7e]{{1,{MAX_ID_LENGTH}}}")
_BUDGET = re.compile(r"[0-9]{1,9}")
_ROUTE_KEY = re.compile(r"[0-9A-Fa-f]{1,16}")
_VALUE = re.compile(r"[\t\x20-\x7e]*")
_TARGET = re.compile(r"/[\x21\x22\x24-\x7e]*")


class AmqpPayload(RequestPayload):
    """Payload of a published message, with its original properties."""

    properties: Any = None


class InvalidMessage(ValueError):
    """A published message is no valid request; the text is sent to the publisher as the reason."""


def text_of(value: Any) -> str:
    """Convert a header value of any AMQP type to text."""
    if isinstance(value, bytes | bytearray):
        return bytes(value).decode("utf-8", "replace")
    if isinstance(value, bool):
        return "1" if value else "0"
    return str(value)


def payload_from(job_class: str, properties: Any, body: bytes) -> AmqpPayload:
    """Return the request payload of a published message."""
    headers: dict[bytes, bytes] = {b"x-call-class": job_class.encode()}
    published_headers = properties.headers or {}
    for name in FORWARDED_HEADERS:
        if published_headers.get(name) is not None:
            headers[name.encode()] = _validated(name, text_of(published_headers[name]))
    if properties.content_type:
        headers[b"content-type"] = _validated("content-type", properties.content_type)
    target = f"/{job_class}"
    if published_headers.get("x-target") is not None:
        target = text_of(published_headers["x-target"])
        if not _TARGET.fullmatch(target) or target.split("?")[0].split("/")[1] != job_class:
            raise InvalidMessage(f"x-target: a path under /{job_class} is allowed")
    return AmqpPayload(b"POST", target.encode(), headers, body, properties)


def _validated(name: str, value: str) -> bytes:
    if not _VALUE.fullmatch(value):
        raise InvalidMessage(f"{name}: printable ASCII is allowed")
    return value.encode()


def request_id_from(properties: Any) -> str | None:
    """Return the message-id, or None."""
    if not properties.message_id:
        return None
    if not _ID.fullmatch(properties.message_id):
        raise InvalidMessage(f"message-id: 1 to {MAX_ID_LENGTH} visible ASCII characters are allowed")
    return str(properties.message_id)


def budget_from(properties: Any) -> float | None:
    """Return the expiration in ms, or None."""
    if not properties.expiration:
        return None
    if not _BUDGET.fullmatch(properties.expiration):
        raise InvalidMessage("expiration: 1 to 9 digits are allowed")
    return float(properties.expiration)


def route_key_from(headers: dict[bytes, bytes]) -> int | None:
    """Return the route key from the header x-route-hash, or None."""
    key = headers.get(b"x-route-hash", b"").decode()
    return int(key, 16) % 2**53 if _ROUTE_KEY.fullmatch(key) else None


def delivery_properties(payload: Payload, id: str, job_class: str, remaining_ms: float, reply_to: str) -> Any:
    """Return the properties of a delivery; `remaining_ms` becomes its expiration."""
    headers: dict[str, Any] = {}
    properties = Properties()
    if isinstance(payload, AmqpPayload):
        published = payload.properties
        if published.headers:
            headers.update(published.headers)
        properties.content_encoding, properties.message_type = (
            published.content_encoding,
            published.message_type,
        )
        properties.app_id, properties.priority = published.app_id, published.priority
    for name in FORWARDED_HEADERS:
        value = payload.headers.get(name.encode())
        if value is not None:
            headers[name] = value.decode("latin-1")
    if payload.target != b"/" + job_class.encode():
        headers["x-target"] = payload.target.decode("latin-1")
    content_type = payload.headers.get(b"content-type")
    properties.content_type = content_type.decode("latin-1")[:255] if content_type else None
    properties.headers = headers or None
    properties.message_id = properties.correlation_id = id
    properties.reply_to = reply_to
    properties.expiration = str(max(int(remaining_ms), 1))
    return properties
