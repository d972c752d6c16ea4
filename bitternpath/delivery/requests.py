"""Encodes the HTTP request of a delivery."""

from __future__ import annotations

from bitternpath.delivery.results import WorkerTarget
from bitternpath.transport.records import Message

BODILESS_METHODS = ("GET", "HEAD", "DELETE", "OPTIONS")  # no Content-Length is sent with an empty body


def request_bytes(target: WorkerTarget, message: Message, deadline_ms: int) -> bytes:
    """Return the request: the client's message and the headers of this attempt (PROTOCOL, "Workers").

    Method, target and header values are the client's bytes, decoded as Latin-1. Content-Length is sent with
    every body, and also with an empty body if workers may expect one for the method.
    """
    lines = [f"{message.method} {message.target} HTTP/1.1", f"Host: {message.host}"]
    lines += [f"{header.name}: {header.value}" for header in message.headers]
    lines.append(f"X-Request-Id: {message.request_id}")
    if message.order_key:
        lines.append(f"X-Order-Key: {message.order_key}")
    lines.append(f"X-Deadline-Ms: {deadline_ms}")
    if target.instance:
        lines.append(f"X-Expect-Instance: {target.instance}")
    if message.body or message.method not in BODILESS_METHODS:
        lines.append(f"Content-Length: {len(message.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + message.body
