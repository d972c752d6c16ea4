"""Reads the platform's list of workers (PROTOCOL, "Service discovery")."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import treq
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.web.client import Agent, HTTPConnectionPool

from bitternpath.transport.feed_messages import CatalogueEntry

CALL_TIMEOUT_S = 0.8
MOST_PAGES = 200


class EndpointListUnavailableError(Exception):
    """The list can't be read now; the text says why."""


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The whole list, with when its reading began (seconds of the steady clock)."""

    requested_at: float
    entries: tuple[CatalogueEntry, ...]


class EndpointListClient:
    """Calls of the platform's address, over one connection that is kept."""

    def __init__(self, reactor: Any, address: str) -> None:
        self.reactor, self.address = reactor, address
        pool: Any = HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
        pool.maxPersistentPerHost = 1
        pool.cachedConnectionTimeout = 20
        pool.retryAutomatically = False
        make_agent: Any = Agent
        self._agent = make_agent(reactor, connectTimeout=CALL_TIMEOUT_S, pool=pool)

    @inlineCallbacks
    def read(self) -> Any:
        """A `EndpointList` of all pages; fails with `EndpointListUnavailableError`."""
        requested_at = self.reactor.seconds()
        entries: list[CatalogueEntry] = []
        token = ""
        for _ in range(MOST_PAGES):
            page = yield self._page(token)
            entries += [_entry(raw) for raw in page.get("instances", ())]
            token = page.get("next_page_token") or ""
            if not token:
                return EndpointList(requested_at, tuple(sorted(entries, key=lambda entry: entry.instance)))
        raise EndpointListUnavailableError(f"more than {MOST_PAGES} pages")

    @inlineCallbacks
    def _page(self, token: str) -> Any:
        query = {"page_token": token} if token else {}
        url = f"http://{self.address}/instances"
        try:
            response = yield treq.get(
                url,
                params=query,
                agent=self._agent,
                allow_redirects=False,
                timeout=CALL_TIMEOUT_S,
                reactor=self.reactor,
            )
            body = yield _within(self.reactor, treq.content(response))
        except Exception as error:
            raise EndpointListUnavailableError(f"no answer: {type(error).__name__} {error}") from error
        if response.code != 200:
            raise EndpointListUnavailableError(f"status {response.code}")
        try:
            page = json.loads(body)
        except ValueError as error:
            raise EndpointListUnavailableError(f"not JSON: {error}") from error
        if not isinstance(page, dict):
            raise EndpointListUnavailableError("not an object")
        return page


def _within(reactor: Any, waiting: Deferred[bytes]) -> Deferred[bytes]:
    return waiting.addTimeout(CALL_TIMEOUT_S, reactor)


def _entry(raw: dict[str, Any]) -> CatalogueEntry:
    return CatalogueEntry(
        instance=str(raw["id"]),
        service=str(raw["service"]),
        address=str(raw["address"]),
        zone=str(raw.get("zone", "")),
        slots=int(raw.get("slots") or 1),
        draining=raw.get("state") != "ready",
        warming_up=bool(raw.get("cold_remaining_ms")),
    )
