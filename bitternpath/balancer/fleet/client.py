"""Requests of a command to the consensus servers: blocking sockets, one server after the other."""

from __future__ import annotations

import socket
import time
from collections.abc import Mapping
from typing import Any

import msgspec

from bitternpath.balancer.config.platform import Address
from bitternpath.balancer.fleet import messages as m

REPLY_TIMEOUT = 2.0  # s that one steward is waited for
RETRY_INTERVAL = 0.3  # s before all of them are asked again
RECEIVE_BYTES = 1 << 16


class NoAnswerError(Exception):
    """Nobody who could answer did in time; the text says what each said."""


def _send_to_server(address: Address, request: m.CommandRequest, name: str, timeout: float) -> m.CommandReply:
    deadline = time.monotonic() + timeout
    with socket.create_connection(address, timeout) as connection:
        connection.sendall(
            m.encode_frame(m.Hello(m.PROTOCOL_VERSION, "", "command", name)) + m.encode_frame(request)
        )
        decoder = m.FrameDecoder()
        while (remaining := deadline - time.monotonic()) > 0:
            connection.settimeout(remaining)
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                break
            for message in decoder.feed(data):
                if isinstance(message, m.CommandReply) and message.number == request.number:
                    return message
                if isinstance(message, m.Refused):
                    return m.CommandReply(request.number, False, message.reason)
    raise TimeoutError("no answer")


def is_transient(reply: m.CommandReply) -> bool:
    """Whether the same question may be answered soon."""
    return not reply.ok and ("leader" in reply.text or "again" in reply.text)


def send_command(
    servers: Mapping[str, Address], command: m.Command, name: str, timeout: float
) -> m.CommandReply:
    """Ask any steward, again until one answers or the time is up; NoAnswerError then."""
    deadline, failures = time.monotonic() + timeout, dict.fromkeys(servers, "not asked")
    while True:
        for server, address in servers.items():
            try:
                reply = _send_to_server(
                    address, m.CommandRequest(1, command), name, min(REPLY_TIMEOUT, timeout)
                )
            except (OSError, m.WireError) as error:
                failures[server] = str(error) or type(error).__name__
                continue
            if not is_transient(reply):
                return reply
            failures[server] = reply.text
        if time.monotonic() >= deadline:
            raise NoAnswerError("; ".join(f"{server}: {failure}" for server, failure in failures.items()))
        time.sleep(RETRY_INTERVAL)


def query(
    servers: Mapping[str, Address], command: m.Query, name: str, timeout: float
) -> tuple[dict[str, Any], str]:
    """What is known, and why it may be old: empty where a majority stands behind it."""
    try:
        reply, failure = send_command(servers, command, name, timeout), ""
    except NoAnswerError as error:
        failure, replies = str(error), []
        stale_query = msgspec.structs.replace(command, stale=True)
        for address in servers.values():
            try:
                replies.append(
                    _send_to_server(address, m.CommandRequest(1, stale_query), name, REPLY_TIMEOUT)
                )
            except (OSError, m.WireError):
                continue
        if not replies:
            raise
        reply = max(replies, key=lambda each: msgspec.msgpack.decode(each.data)["applied"])
    return dict(msgspec.msgpack.decode(reply.data)), failure
