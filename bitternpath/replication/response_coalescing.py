"""Coalescing of the confirmations that a reactor turn sends to one leader. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from bitternpath.replication.messages import AppendEntriesResponse, Message


def coalesce_append_responses(messages: Sequence[tuple[str, Message]]) -> list[tuple[str, Message]]:
    """Merge consecutive positive responses to the same leader and term into one.

    Takes and returns pairs of receiver and message in sending order.
    """
    coalesced: list[tuple[str, Message]] = []
    for receiver, message in messages:
        if coalesced and isinstance(message, AppendEntriesResponse) and message.ok:
            previous_receiver, previous = coalesced[-1]
            if (
                previous_receiver == receiver
                and isinstance(previous, AppendEntriesResponse)
                and previous.ok
                and previous.term == message.term
            ):
                coalesced[-1] = (receiver, _merged(previous, message))
                continue
        coalesced.append((receiver, message))
    return coalesced


def _merged(first: AppendEntriesResponse, second: AppendEntriesResponse) -> AppendEntriesResponse:
    """A response that confirms everything that both responses confirm."""
    return AppendEntriesResponse(
        first.term,
        True,
        max(first.index, second.index),
        max(first.heartbeat_round, second.heartbeat_round),
    )
