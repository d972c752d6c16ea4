"""Client for commands: asks the consensus servers one after the other, over blocking sockets."""

from __future__ import annotations

import socket
import time
from collections.abc import Mapping
from typing import Any

import msgspec

from bitternpath.balancer.config.platform import Address
from bitternpath.balancer.fleet import messages as m

REPLY_TIMEOUT = 2.0  # s to wait for the reply of one server
RETRY_INTERVAL = 0.3  # s between two passes over all servers
RECEIVE_BYTES = 1 << 16


class NoAnswerError(Exception):
    """No server gave a final reply in time; the text has the last failure of each server."""


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
    """Whether the server is expected to answer the same command soon."""
    return not reply.ok and ("leader" in reply.text or "again" in reply.text)


def send_command(
    servers: Mapping[str, Address], command: m.Command, name: str, timeout: float
) -> m.CommandReply:
    """Try the servers in turn until one gives a final reply; NoAnswerError after `timeout` s."""
    deadline, failures = time.monotonic() + timeout, dict.fromkeys(servers, "not tried yet")
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
    """Return the data and why it may be outdated; the reason is empty if a majority confirmed the data.

    Without a majority the newest data that any server has is returned.
    """
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
