"""Fewer messages: of a turn's confirmations to one leader only the last is sent. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from bitternpath.replication.messages import AppendEntriesResponse, Message


def coalesce_append_responses(messages: Sequence[tuple[str, Message]]) -> list[tuple[str, Message]]:
    """Merge consecutive positive responses to one leader in one term: the last covers those before it.

    Takes and returns receivers with messages, in the order in which they are to be sent.
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
    """One response that confirms what both do."""
    return AppendEntriesResponse(
        first.term,
        True,
        max(first.index, second.index),
        max(first.heartbeat_round, second.heartbeat_round),
    )
