"""The worker client on real sockets."""

from __future__ import annotations

import socket
import unittest
from typing import Any

from msgspec import structs
from twisted.internet.protocol import Protocol

from bitternpath.delivery.connections import TCP_USER_TIMEOUT_MS
from bitternpath.delivery.results import RefusalKind, WorkerTarget
from bitternpath.delivery.worker_client import WorkerClient
from bitternpath.transport.records import AttemptOutcome
from tests.system import Loopback
from tests.system.delivery.client_case import (
    MESSAGE,
    OK,
)


class _Worker(Protocol):
    """A worker that records the bytes that it reads."""

    read = b""

    def dataReceived(self, data: bytes) -> None:
        _Worker.read += data
        if data.endswith(b"body"):
            self.transport.write(OK)  # type: ignore[union-attr, call-arg]


class SocketTest(unittest.TestCase):
    """The client on real sockets."""

    def setUp(self) -> None:
        self.loopback = Loopback()
        self.addCleanup(self.loopback.close)
        _Worker.read = b""

    def test_delivery_and_socket_options(self) -> None:
        address = self.loopback.listen_with(_Worker)
        client = WorkerClient(self.loopback.reactor)
        target = WorkerTarget(address, "i-1", 1)
        message = structs.replace(MESSAGE, target="/p/%2e%2e//\xe9?a=%zz&b")
        for _ in range(2):
            result = self.loopback.result(client.deliver(target, message, 5000))
            self.assertEqual(result.outcome, AttemptOutcome.SUCCEEDED)
        self.assertTrue(_Worker.read.startswith(b"POST /p/%2e%2e//\xe9?a=%zz&b HTTP/1.1\r\n"))
        handles = [reader.getHandle() for reader in self.loopback.reactor.getReaders() if _is_client(reader)]
        options = [
            (
                handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
                bool(handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)),
            )
            for handle in handles
        ]
        self.assertEqual(options, [(TCP_USER_TIMEOUT_MS, True)])
        self.loopback.result(client.shutdown())

    def test_refused_connection(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            client = WorkerClient(self.loopback.reactor)
            result = self.loopback.result(client.deliver(WorkerTarget(address, "", 1), MESSAGE, 5000))
        self.assertEqual(
            (result.outcome, result.refusal), (AttemptOutcome.NOT_RUN, RefusalKind.NO_CONNECTION)
        )


def _is_client(reader: Any) -> bool:
    return type(reader).__name__ == "Client"


if __name__ == "__main__":
    unittest.main()
