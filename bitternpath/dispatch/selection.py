"""Which worker gets a delivery: a random neural network for each job class (SYSTEM, "The design").

A class is a route. Its network has a neuron for each listed worker of the route's service; a new incarnation
of a worker is a new neuron. A delivery goes to the usable worker with the highest q / (1 + own deliveries in
flight there), ties broken at random; `EXPLORE` of them go to another usable worker at random. Successes score
1 / G, with G the seconds from send to end; all else scores as a long G.
"""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from bitternpath.delivery.results import DeliveryResult, RefusalKind
from bitternpath.dispatch.network import Network
from bitternpath.transport.feed_messages import CatalogueEntry
from bitternpath.transport.records import AttemptOutcome

EXPLORE = 0.1
LEAST_ELAPSED_S = 0.001  # of a goal value
SUSPEND_FIRST_S, SUSPEND_MOST_S = 0.4, 4.0  # after silence or without a connection, doubled each time
BUSY_S = 0.05  # after a worker said that it is full
WRONG_INSTANCE_S = 5.0  # another worker has the address: until the list shows it


class ListedWorker:
    """A worker of the platform's list, as this node's dispatcher knows it. One for each incarnation."""

    def __init__(self, entry: CatalogueEntry) -> None:
        self.name = entry.instance
        self.kind = entry.service
        self.address = entry.address
        self.service = entry.service
        self.zone = entry.zone
        self.slots = max(entry.slots, 1)
        self.in_flight = 0
        self.out_until = 0.0
        self._strikes = 0

    def usable(self, now: float) -> bool:
        """Whether it may get another delivery of this node."""
        return now >= self.out_until and self.in_flight < self.slots

    def ended(self, now: float, result: DeliveryResult, random: Random) -> None:
        """Heed how a delivery there ended."""
        if result.refusal is RefusalKind.WRONG_INSTANCE:
            self.out_until = now + WRONG_INSTANCE_S
        elif result.refusal is RefusalKind.BUSY:
            self.out_until = now + BUSY_S * (0.5 + random.random())
        elif result.refusal is RefusalKind.NO_CONNECTION or result.outcome is AttemptOutcome.UNKNOWN:
            self._strikes += 1
            pause = min(SUSPEND_FIRST_S * 2 ** (self._strikes - 1), SUSPEND_MOST_S)
            self.out_until = now + pause * (0.75 + 0.5 * random.random())
        else:
            self._strikes = 0


class WorkerSelection:
    """The listed workers with a network for each route."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self._workers: dict[str, ListedWorker] = {}
        self._services: dict[str, dict[str, ListedWorker]] = {}
        self._networks: dict[str, Network[ListedWorker]] = {}  # by route
        self._service_of: dict[str, str] = {}  # of a route's network

    def workers_changed(self, entries: list[CatalogueEntry], left: list[str]) -> None:
        """The usable workers are these; `left` are instances that aren't any more."""
        for instance in left:
            self._remove(instance)
        for entry in entries:
            if entry.instance not in self._workers:
                self._add(ListedWorker(entry))

    def worker(self, instance: str) -> ListedWorker | None:
        """A listed worker."""
        return self._workers.get(instance)

    def count(self, service: str) -> int:
        """How many workers a service has on the list."""
        return len(self._services.get(service, ()))

    def choose(
        self, now: float, route: str, service: str, without: Collection[str] = ()
    ) -> ListedWorker | None:
        """The worker for a delivery; None where none is usable."""
        listed = self._services.get(service, {})
        usable = [worker for worker in listed.values() if worker.usable(now) and worker.name not in without]
        if not usable:
            return None
        if len(usable) == 1 or self.random.random() < EXPLORE:
            return self.random.choice(usable)
        network = self._network(route, service)
        return max(usable, key=lambda worker: (self._score(network, worker), self.random.random()))

    def started(self, worker: ListedWorker) -> None:
        """A delivery goes there."""
        worker.in_flight += 1

    def ended(self, now: float, route: str, worker: ListedWorker, result: DeliveryResult) -> None:
        """It has ended: learn from it."""
        worker.in_flight -= 1
        worker.ended(now, result, self.random)
        network = self._networks.get(route)
        if network is None or worker.name not in network.place:
            return
        if result.outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.REJECTED):
            network.learn(worker, 1.0 / max(result.elapsed_s, LEAST_ELAPSED_S))
        else:
            network.learn(worker, 0.0, completed=False)

    def _score(self, network: Network[ListedWorker], worker: ListedWorker) -> float:
        return network.q[network.place[worker.name]] / (1 + worker.in_flight)

    def _network(self, route: str, service: str) -> Network[ListedWorker]:
        network = self._networks.get(route)
        if network is None or self._service_of[route] != service:
            network = self._networks[route] = Network()
            self._service_of[route] = service
            for worker in self._services.get(service, {}).values():
                network.join(worker)
        return network

    def _add(self, worker: ListedWorker) -> None:
        self._workers[worker.name] = worker
        self._services.setdefault(worker.service, {})[worker.name] = worker
        for route, network in self._networks.items():
            if self._service_of[route] == worker.service:
                network.join(worker)

    def _remove(self, instance: str) -> None:
        worker = self._workers.pop(instance, None)
        if worker is None:
            return
        del self._services[worker.service][instance]
        for network in self._networks.values():
            if instance in network.place:
                network.leave(worker)
