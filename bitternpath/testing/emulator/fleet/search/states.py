"""Building blocks of search states: copies of processes, and messages in transit."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from copy import copy
from typing import Any, Protocol

import msgspec
from msgspec import Struct

from bitternpath.replication.log import ReplicatedLog

encode = msgspec.msgpack.Encoder().encode


class FixedRandom:
    """A random source with constant results: what it would decide is a move of the search instead."""

    @staticmethod
    def random() -> float:
        return 0.0

    @staticmethod
    def shuffle(values: list[Any]) -> None:
        """Leaves the order unchanged."""


def _copy_value(value: Any) -> Any:
    """Copies one level deeper than `copy`, since processes change their lists, sets, dicts and logs in
    place."""
    match value:
        case list():
            return [_copy_value(v) if isinstance(v, list) else v for v in value]
        case dict():
            return {key: copy(v) for key, v in value.items()}
        case set():
            return set(value)
        case ReplicatedLog():
            return copy_process(value)
    return value


def copy_process(process: Any) -> Any:
    """A copy of a process in the same state."""
    clone = copy(process)
    clone.__dict__.update({name: _copy_value(value) for name, value in process.__dict__.items()})
    return clone


class Channels(Struct, frozen=True):
    """Messages in transit, by sender and receiver."""

    queues: tuple[tuple[tuple[str, str], tuple[tuple[bytes, Any], ...]], ...] = ()

    def with_message(self, sender: str, to: str, message: Any) -> Channels:
        queues_by_pair = dict(self.queues)
        queues_by_pair[sender, to] = (*queues_by_pair.get((sender, to), ()), (encode(message), message))
        return Channels(tuple(sorted(queues_by_pair.items(), key=lambda pair: pair[0])))

    def deliverable(self, shuffled: bool) -> Iterator[tuple[str, str, Any, Channels]]:
        """Yields each message that may arrive next, as sender, receiver, message and the channels after
        it."""
        for position, ((sender, to), queue) in enumerate(self.queues):
            for position_in_queue, (_, message) in enumerate(queue if shuffled else queue[:1]):
                undelivered = queue[:position_in_queue] + queue[position_in_queue + 1 :]
                kept_channel = (((sender, to), undelivered),) if undelivered else ()
                yield (
                    sender,
                    to,
                    message,
                    Channels(self.queues[:position] + kept_channel + self.queues[position + 1 :]),
                )

    def losses(self) -> Iterator[tuple[str, str, Channels]]:
        """Yields each channel that may lose its messages, and the channels after that."""
        for position, ((sender, to), _) in enumerate(self.queues):
            yield sender, to, Channels(self.queues[:position] + self.queues[position + 1 :])

    def key(self, shuffled: bool) -> Hashable:
        contents = ((pair, [content for content, _ in queue]) for pair, queue in self.queues)
        return tuple((pair, tuple(sorted(queue) if shuffled else queue)) for pair, queue in contents)


class SearchedState(Protocol):
    """A state with messages in transit and a remaining budget for each kind of move."""

    remaining: dict[str, int]
    channels: Channels


def lose_channel(state: SearchedState, next_channels: Channels) -> None:
    """Loses all messages of one channel."""
    state.remaining["cut"] -= 1
    state.channels = next_channels
