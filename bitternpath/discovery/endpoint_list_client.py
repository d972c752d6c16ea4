"""HTTP client for the platform's endpoint list (PROTOCOL, "Service discovery")."""

from __future__ import annotations

import json
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

import treq
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.web.client import Agent, HTTPConnectionPool

from bitternpath.transport.feed_messages import CatalogueEntry

CALL_TIMEOUT_S = 0.8  # each for connecting, for the head of the response, and for its body
IDLE_CONNECTION_S = 20  # an idle connection is closed after this time
MAX_PAGES = 200  # ends a reading whose pages refer to each other in a cycle
STATE_READY = "ready"  # PROTOCOL: in every other state, an instance accepts no new calls

Page = dict[str, Any]  # a JSON object


class EndpointListUnavailableError(Exception):
    """The list couldn't be read; the text gives the reason.

    Caused by the platform or the network; a retry may help.
    """


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One reading of the complete list.

    Attributes:
        requested_at: when the reading began, in seconds of the reactor's clock. The content may be older than
            the last page, but not older than this.
        entries: the workers, ordered by instance.
    """

    requested_at: float
    entries: tuple[CatalogueEntry, ...]


class EndpointListClient:
    """Reads the list over one persistent connection to the platform. It doesn't retry."""

    def __init__(self, reactor: Any, address: str) -> None:
        """Create a client that isn't connected yet.

        Args:
            reactor: Twisted's reactor, as required by `Agent`.
            address: `host:port` of the platform's API.
        """
        self._reactor = reactor
        self._url = f"http://{address}/instances"
        pool: Any = HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
        pool.maxPersistentPerHost = 1
        pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        pool.retryAutomatically = False
        make_agent: Any = Agent
        self._agent = make_agent(reactor, connectTimeout=CALL_TIMEOUT_S, pool=pool)

    @inlineCallbacks
    def read(self) -> Generator[Deferred[Any], Any, EndpointList]:
        """Read all pages; fires with an `EndpointList`, or fails with `EndpointListUnavailableError`."""
        requested_at = self._reactor.seconds()
        entries: list[CatalogueEntry] = []
        token = ""
        for _ in range(MAX_PAGES):
            page = yield self._read_page(token)
            entries += [_parse_entry(instance) for instance in page.get("instances", ())]
            token = page.get("next_page_token") or ""
            if not token:
                entries.sort(key=lambda entry: entry.instance)
                return EndpointList(requested_at, tuple(entries))
        raise EndpointListUnavailableError(f"more than {MAX_PAGES} pages")

    @inlineCallbacks
    def _read_page(self, token: str) -> Generator[Deferred[Any], Any, Page]:
        try:
            response = yield treq.get(
                self._url,
                params={"page_token": token} if token else {},
                agent=self._agent,
                allow_redirects=False,
                timeout=CALL_TIMEOUT_S,
                reactor=self._reactor,
            )
            body = yield treq.content(response).addTimeout(CALL_TIMEOUT_S, self._reactor)
        except Exception as error:
            raise EndpointListUnavailableError(f"no answer: {type(error).__name__} {error}") from error
        if response.code != 200:
            raise EndpointListUnavailableError(f"status {response.code}")
        return _parse_page(body)


def _parse_page(body: bytes) -> Page:
    try:
        page = json.loads(body)
    except ValueError as error:
        raise EndpointListUnavailableError(f"not JSON: {error}") from error
    if not isinstance(page, dict):
        raise EndpointListUnavailableError("not an object")
    return page


def _parse_entry(instance: dict[str, Any]) -> CatalogueEntry:
    return CatalogueEntry(
        instance=str(instance["id"]),
        service=str(instance["service"]),
        address=str(instance["address"]),
        zone=str(instance.get("zone", "")),
        slots=int(instance.get("slots") or 1),
        draining=instance.get("state") != STATE_READY,
        warming_up=bool(instance.get("cold_remaining_ms")),
    )
