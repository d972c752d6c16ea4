"""Selection of the worker for a delivery, by a random neural network for each route (SYSTEM, "The design").

Each route is a job class. Its network has one neuron for each listed worker of the route's service; a new
incarnation of a worker is a new neuron. A delivery goes to the usable worker with the highest
q / (1 + own deliveries in flight there), ties broken at random; a share `EXPLORATION_RATE` of them goes to a
random usable worker. A success, or a rejection by the worker's own decision, pays off 1 / G, with G the
seconds from the send to the end; everything else pays off nothing.
"""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from bitternpath.delivery.results import DeliveryResult, RefusalKind
from bitternpath.dispatch.network import Network
from bitternpath.transport.feed_messages import CatalogueEntry
from bitternpath.transport.records import AttemptOutcome

EXPLORATION_RATE = 0.1  # share of the deliveries that go to a random usable worker
MIN_ELAPSED_S = 0.001  # lower bound of G, which bounds the payoff 1 / G
SUSPENSION_MIN_S = 0.4  # after a time-out or a failed connection; doubled by each further one in a row
SUSPENSION_MAX_S = 4.0  # upper limit of that doubling
BUSY_BACKOFF_S = 0.05  # after a worker rejected a delivery for want of a free slot
WRONG_INSTANCE_SUSPENSION_S = 5.0  # another worker has the address; the catalogue shows it before this ends


class ListedWorker:
    """One incarnation of a worker in the catalogue, with the state that this node keeps of it.

    It is a `network.Neuron`: a new worker starts with the mean weights of its `kind`.
    """

    def __init__(self, entry: CatalogueEntry) -> None:
        self.name = entry.instance
        self.kind = entry.service
        self.address = entry.address
        self.service = entry.service
        self.slots = max(entry.slots, 1)
        self.in_flight = 0  # deliveries of this node
        self.suspended_until = 0.0
        self._failures_in_a_row = 0

    def usable(self, now: float) -> bool:
        """Whether the worker may get another delivery from this node."""
        return now >= self.suspended_until and self.in_flight < self.slots

    def delivery_ended(self, now: float, result: DeliveryResult, random: Random) -> None:
        """Suspend the worker if the result of a delivery to it requires that."""
        if result.refusal is RefusalKind.WRONG_INSTANCE:
            self.suspended_until = now + WRONG_INSTANCE_SUSPENSION_S
        elif result.refusal is RefusalKind.BUSY:
            self.suspended_until = now + BUSY_BACKOFF_S * (0.5 + random.random())
        elif result.refusal is RefusalKind.NO_CONNECTION or result.outcome is AttemptOutcome.UNKNOWN:
            self._failures_in_a_row += 1
            backoff_s = min(SUSPENSION_MIN_S * 2 ** (self._failures_in_a_row - 1), SUSPENSION_MAX_S)
            self.suspended_until = now + backoff_s * (0.75 + 0.5 * random.random())
        else:
            self._failures_in_a_row = 0


class WorkerSelection:
    """The listed workers, and a network for each route with deliveries."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._workers: dict[str, ListedWorker] = {}  # by instance
        self._services: dict[str, dict[str, ListedWorker]] = {}  # by service and instance
        self._networks: dict[str, Network[ListedWorker]] = {}  # by route
        self._network_services: dict[str, str] = {}  # the service for which a route's network was created

    def workers_changed(self, entries: list[CatalogueEntry], removed: list[str]) -> None:
        """Update the listed workers: `entries` are usable, instances in `left` no longer are."""
        for instance in removed:
            self._remove(instance)
        for entry in entries:
            if entry.instance not in self._workers:
                self._add(ListedWorker(entry))

    def worker(self, instance: str) -> ListedWorker | None:
        """Look up a listed worker by its instance."""
        return self._workers.get(instance)

    def choose(
        self, now: float, route: str, service: str, exclude: Collection[str] = ()
    ) -> ListedWorker | None:
        """Choose the worker for a delivery, none of those in `exclude`; None if no worker is usable."""
        listed = self._services.get(service, {})
        usable = [worker for worker in listed.values() if worker.usable(now) and worker.name not in exclude]
        if not usable:
            return None
        if len(usable) == 1 or self._random.random() < EXPLORATION_RATE:
            return self._random.choice(usable)
        network = self._network(route, service)
        return max(usable, key=lambda worker: (self._score(network, worker), self._random.random()))

    def delivery_started(self, worker: ListedWorker) -> None:
        """Count a delivery that is sent to the worker."""
        worker.in_flight += 1

    def delivery_ended(self, now: float, route: str, worker: ListedWorker, result: DeliveryResult) -> None:
        """Learn from the result of a delivery that has ended."""
        worker.in_flight -= 1
        worker.delivery_ended(now, result, self._random)
        network = self._networks.get(route)
        if network is None or worker.name not in network.index:
            return
        if result.outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.REJECTED):
            network.learn(worker, 1.0 / max(result.elapsed_s, MIN_ELAPSED_S))
        else:
            network.learn(worker, 0.0, completed=False)

    def _score(self, network: Network[ListedWorker], worker: ListedWorker) -> float:
        return network.q[network.index[worker.name]] / (1 + worker.in_flight)

    def _network(self, route: str, service: str) -> Network[ListedWorker]:
        """The network of a route; a new one if the route has moved to another service."""
        network = self._networks.get(route)
        if network is None or self._network_services[route] != service:
            network = Network()
            self._networks[route] = network
            self._network_services[route] = service
            for worker in self._services.get(service, {}).values():
                network.join(worker)
        return network

    def _add(self, worker: ListedWorker) -> None:
        self._workers[worker.name] = worker
        self._services.setdefault(worker.service, {})[worker.name] = worker
        for route, network in self._networks.items():
            if self._network_services[route] == worker.service:
                network.join(worker)

    def _remove(self, instance: str) -> None:
        worker = self._workers.pop(instance, None)
        if worker is None:
            return
        del self._services[worker.service][instance]
        for network in self._networks.values():
            if instance in network.index:
                network.leave(worker)
