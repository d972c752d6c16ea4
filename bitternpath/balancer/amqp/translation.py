"""Payloads between AMQP and the platform's own words (docs/operate/amqp.md has the table). Pure.

| the platform's | AMQP |
| --- | --- |
| path `/CLASS` | routing key `CLASS` |
| any longer path, or a query | header `x-target` |
| `X-Call-Id` | `message-id` |
| `X-Budget-Ms` | `expiration` |
| `X-Route-Hash`, `X-Again`, `X-Call-Info` | headers of the same names in lower case |
| `Content-Type` | `content-type` |
| body | body |

All else that a publisher sets (other headers, content-encoding, type, app-id) reaches subscribers
unchanged; HTTP endpoints have no use for it."""

from __future__ import annotations

import re
from typing import Any

from bitternpath.balancer.amqp.frames import Properties
from bitternpath.balancer.core.requests import MAX_ID_LENGTH, Payload, RequestPayload

CARRIED = ("x-route-hash", "x-again", "x-call-info")
_ID = re.compile(rf"[\x21-\x7e]{{1,{MAX_ID_LENGTH}}}")
_BUDGET = re.compile(r"[0-9]{1,9}")
_KEY = re.compile(r"[0-9A-Fa-f]{1,16}")
_VALUE = re.compile(r"[\t\x20-\x7e]*")
_TARGET = re.compile(r"/[\x21\x22\x24-\x7e]*")


class AmqpWork(RequestPayload):
    """A payload that a publisher gave, with the properties as they came."""

    properties: Any = None


class Untranslatable(ValueError):
    """What a publisher gave cannot become a request; the text says why."""


def text_of(value: Any) -> str:
    """A header's value as text, whatever type the peer chose for it."""
    if isinstance(value, bytes | bytearray):
        return bytes(value).decode("utf-8", "replace")
    if isinstance(value, bool):
        return "1" if value else "0"
    return str(value)


def work_from(job_class: str, properties: Any, body: bytes) -> AmqpWork:
    """The payload of a published message."""
    headers: dict[bytes, bytes] = {b"x-call-class": job_class.encode()}
    told = properties.headers or {}
    for name in CARRIED:
        if told.get(name) is not None:
            headers[name.encode()] = _checked(name, text_of(told[name]))
    if properties.content_type:
        headers[b"content-type"] = _checked("content-type", properties.content_type)
    target = f"/{job_class}"
    if told.get("x-target") is not None:
        target = text_of(told["x-target"])
        if not _TARGET.fullmatch(target) or target.split("?")[0].split("/")[1] != job_class:
            raise Untranslatable(f"x-target: a path under /{job_class} is allowed")
    return AmqpWork(b"POST", target.encode(), headers, body, properties)


def _checked(name: str, value: str) -> bytes:
    if not _VALUE.fullmatch(value):
        raise Untranslatable(f"{name}: printable ASCII is allowed")
    return value.encode()


def id_from(properties: Any) -> str | None:
    """The message-id, None where there is none."""
    if not properties.message_id:
        return None
    if not _ID.fullmatch(properties.message_id):
        raise Untranslatable(f"message-id: 1 to {MAX_ID_LENGTH} visible ASCII characters are allowed")
    return str(properties.message_id)


def budget_from(properties: Any) -> float | None:
    """The expiration in ms, None where there is none."""
    if not properties.expiration:
        return None
    if not _BUDGET.fullmatch(properties.expiration):
        raise Untranslatable("expiration: 1 to 9 digits are allowed")
    return float(properties.expiration)


def key_from(headers: dict[bytes, bytes]) -> int | None:
    """The route key that a payload's headers carry."""
    key = headers.get(b"x-route-hash", b"").decode()
    return int(key, 16) % 2**53 if _KEY.fullmatch(key) else None


def delivery_properties(payload: Payload, id: str, job_class: str, left: float, reply_to: str) -> Any:
    """What a subscriber is told beside the body; `left` is in ms."""
    headers: dict[str, Any] = {}
    made = Properties()
    if isinstance(payload, AmqpWork):
        given = payload.properties
        if given.headers:
            headers.update(given.headers)
        made.content_encoding, made.message_type = given.content_encoding, given.message_type
        made.app_id, made.priority = given.app_id, given.priority
    for name in CARRIED:
        value = payload.headers.get(name.encode())
        if value is not None:
            headers[name] = value.decode("latin-1")
    if payload.target != b"/" + job_class.encode():
        headers["x-target"] = payload.target.decode("latin-1")
    content_type = payload.headers.get(b"content-type")
    made.content_type = content_type.decode("latin-1")[:255] if content_type else None
    made.headers = headers or None
    made.message_id = made.correlation_id = id
    made.reply_to = reply_to
    made.expiration = str(max(int(left), 1))
    return made
