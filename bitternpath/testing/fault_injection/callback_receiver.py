"""The HTTP server that receives call-backs."""

from __future__ import annotations

import json
from random import Random

from twisted.internet.defer import Deferred, succeed

from bitternpath.net.http1 import Request
from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.http_client import Reply
from bitternpath.testing.fault_injection.http_server import ServerConnection, serve
from bitternpath.testing.fault_injection.plan import LOOPBACK
from bitternpath.testing.fault_injection.records import CallbackReceived

FAILED_CALLBACK_SHARE = 0.1  # share of call-backs that the receiver answers with 503


class CallbackReceiver:
    """Accepts call-backs; answers a share of them with 503.

    Rejects with 400 those whose message is unknown or whose state is not final.
    """

    def __init__(self, context: ActorContext, random: Random, host: str = LOOPBACK) -> None:
        self._clock = context.clock
        self._history = context.history
        self._random = random
        self.port, address = serve(context.reactor, host, self._handle)
        self.url = f"http://{address}/done"

    def _handle(self, request: Request, connection: ServerConnection) -> Deferred[Reply]:
        try:
            document = json.loads(request.body)
            request_id, state, stamp = (
                str(document["id"]),
                str(document["state"]),
                str(document.get("stamp") or ""),
            )
        except (ValueError, KeyError, TypeError):
            return succeed(Reply(400))
        status = self._status(request_id, state)
        received = CallbackReceived(request_id, self._clock(), state, stamp, status == 200)
        self._history.callbacks.append(received)
        return succeed(Reply(status))

    def _status(self, request_id: str, state: str) -> int:
        if request_id not in self._history.sends or state not in ("done", "dead_letter"):
            return 400
        return 503 if self._random.random() < FAILED_CALLBACK_SHARE else 200
