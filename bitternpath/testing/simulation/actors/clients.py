"""Clients of a simulated run: messages, reads of their states, and probes of routes that change."""

from __future__ import annotations

import json
from random import Random
from typing import Any

from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.clients import DEADLINE_MS, Clients, MessageSpec
from bitternpath.testing.fault_injection.http_client import Call, Reply, send_call
from bitternpath.testing.fault_injection.load_balancer import LoadBalancer
from bitternpath.testing.fault_injection.plan import HOSTS, Port
from bitternpath.testing.fault_injection.records import DeliveryKind, Send, SendOutcome
from bitternpath.testing.fault_injection.state_readers import STATE_TIMEOUT_S
from bitternpath.testing.simulation.actors.in_flight import InFlight
from bitternpath.testing.simulation.actors.operators import Operators
from bitternpath.testing.simulation.actors.run_context import RunContext
from bitternpath.testing.simulation.checks.history import RouteProbe, StateRead
from bitternpath.testing.simulation.events import Message, Probe, RunPlan

CLIENT_IP = "10.95.0.1"
PROBE_BODY = b"probe"
PROBED_DOCUMENTS = 3  # number of the newest documents sent whose routes are probed
UNKNOWN_PREFIX = "/never/"


class SimulatedClients:
    """Clients that send the messages and probes of a plan and read states."""

    def __init__(
        self, run: RunContext, balancer: LoadBalancer, operators: Operators, callback_url: str
    ) -> None:
        world = run.world
        self._world = world
        self._plan = run.plan
        self._history = run.history
        self._directory = run.directory
        self._balancer = balancer
        self._operators = operators
        self._reactor: Any = world.host(CLIENT_IP)
        context = ActorContext(self._reactor, lambda: world.now, run.history)
        self._clients = Clients(context, balancer, callback_url)
        self._in_flight = InFlight(run.failed)

    @property
    def in_flight(self) -> int:
        """The number of messages, probes and reads in flight."""
        return self._in_flight.count

    def message(self, event: Message) -> None:
        """Send a message and read its state later."""
        self._in_flight.begin(self._message(event))

    def probe(self, event: Probe) -> None:
        """Send a message directly to one node."""
        self._in_flight.begin(self._probe(event))

    async def _message(self, event: Message) -> None:
        random = self._plan.random(event)
        body = random.randbytes(event.size)
        spec = MessageSpec(event.kind, body, event.key, event.delay_s, event.zone)
        send = await self._clients.send(spec, random)
        if event.ask_after and send.outcome is SendOutcome.ACCEPTED:
            await deferLater(self._reactor, event.ask_after)
            await self._read_state(send, "message")
            await self._read_state(send, "message-body")

    async def _read_state(self, send: Send, resource: str) -> None:
        node, sent_at = self._balancer.choose(), self._world.now
        call = Call("GET", f"/{resource}/{send.message_id}", {"Host": HOSTS[send.kind]})
        answer = await send_call(self._reactor, node.address(Port.FRONT), call, STATE_TIMEOUT_S)
        if not isinstance(answer, Reply):
            return
        state, stamp, body = "", "", None
        if answer.status == 200 and resource == "message":
            document = json.loads(answer.body)
            state, stamp = str(document.get("state", "")), str(document.get("stamp") or "")
        elif answer.status == 200:
            body = answer.body
        elif resource == "message-body":
            return  # the body of a message that has succeeded is not kept
        self._history.state_reads.append(
            StateRead(send.request_id, node.name, sent_at, self._world.now, answer.status, state, stamp, body)
        )

    async def _probe(self, event: Probe) -> None:
        random = self._plan.random(event)
        edges = self._directory.edges
        node = random.choice(edges)
        path = f"{random.choice(self._prefixes())}{random.getrandbits(32):08x}"
        request_id = f"probe-{event.number}-{random.getrandbits(32):08x}"
        host, sent_at = HOSTS[DeliveryKind.LISTED], self._world.now
        self._history.sends[request_id] = Send(
            request_id, sent_at, node.name, DeliveryKind.LISTED, path, PROBE_BODY, outcome=SendOutcome.UNCLEAR
        )
        incarnation = self._directory.incarnation(node.name)
        headers = {"Host": host, "X-Request-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
        call = Call("POST", path, headers, PROBE_BODY)
        answer = await send_call(self._reactor, node.address(Port.FRONT), call, DEADLINE_MS / 1000)
        status = answer.status if isinstance(answer, Reply) else 0
        if incarnation == self._directory.incarnation(node.name):
            self._history.probes.append(
                RouteProbe(request_id, node.name, incarnation, sent_at, self._world.now, host, path, status)
            )

    def _prefixes(self) -> list[str]:
        """Prefixes of routes of the newest documents, and one that no document ever had."""
        prefixes = [UNKNOWN_PREFIX]
        for document in self._operators.documents[-PROBED_DOCUMENTS:]:
            prefixes += [route["path_prefix"] for route in document["routes"][len(DeliveryKind) :]]
        return prefixes


def seeded(plan: RunPlan, purpose: str) -> Random:
    """A random generator for one actor, derived from the run's seed."""
    return Random(f"{plan.seed}/{purpose}")
