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


def _send_to_server(at: Address, request: m.CommandRequest, name: str, within: float) -> m.CommandReply:
    until = time.monotonic() + within
    with socket.create_connection(at, within) as link:
        link.sendall(
            m.encode_frame(m.Hello(m.PROTOCOL_VERSION, "", "command", name)) + m.encode_frame(request)
        )
        frames = m.FrameDecoder()
        while (left := until - time.monotonic()) > 0:
            link.settimeout(left)
            data = link.recv(RECEIVE_BYTES)
            if not data:
                break
            for said in frames.feed(data):
                if isinstance(said, m.CommandReply) and said.number == request.number:
                    return said
                if isinstance(said, m.Refused):
                    return m.CommandReply(request.number, False, said.reason)
    raise TimeoutError("no answer")


def is_transient(answer: m.CommandReply) -> bool:
    """Whether the same question may be answered soon."""
    return not answer.ok and ("leader" in answer.text or "again" in answer.text)


def send_command(
    servers: Mapping[str, Address], command: m.Command, name: str, within: float
) -> m.CommandReply:
    """Ask any steward, again until one answers or the time is up; NoAnswerError then."""
    until, said = time.monotonic() + within, dict.fromkeys(servers, "not asked")
    while True:
        for server, at in servers.items():
            try:
                answer = _send_to_server(at, m.CommandRequest(1, command), name, min(REPLY_TIMEOUT, within))
            except (OSError, m.WireError) as error:
                said[server] = str(error) or type(error).__name__
                continue
            if not is_transient(answer):
                return answer
            said[server] = answer.text
        if time.monotonic() >= until:
            raise NoAnswerError("; ".join(f"{server}: {why}" for server, why in said.items()))
        time.sleep(RETRY_INTERVAL)


def query(
    servers: Mapping[str, Address], command: m.Query, name: str, within: float
) -> tuple[dict[str, Any], str]:
    """What is known, and why it may be old: empty where a majority stands behind it."""
    try:
        answer, why = send_command(servers, command, name, within), ""
    except NoAnswerError as error:
        why, found = str(error), []
        stale = msgspec.structs.replace(command, stale=True)
        for at in servers.values():
            try:
                found.append(_send_to_server(at, m.CommandRequest(1, stale), name, REPLY_TIMEOUT))
            except (OSError, m.WireError):
                continue
        if not found:
            raise
        answer = max(found, key=lambda each: msgspec.msgpack.decode(each.data)["applied"])
    return dict(msgspec.msgpack.decode(answer.data)), why
