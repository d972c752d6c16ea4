"""What the searched states are made of: copies of processes, and what is on the way between them."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from copy import copy
from typing import Any, Protocol

import msgspec
from msgspec import Struct

from bitternpath.replication.log import ReplicatedLog

encoded = msgspec.msgpack.Encoder().encode


class FixedRandom:
    """A random source that always says the same: what it would draw is a move of the search."""

    @staticmethod
    def random() -> float:
        return 0.0

    @staticmethod
    def shuffle(values: list[Any]) -> None:
        """As they are."""


def _copied(value: Any) -> Any:
    """One level deeper than `copy`: processes change lists, sets, dicts and objects of theirs in place."""
    match value:
        case list():
            return [_copied(v) if isinstance(v, list) else v for v in value]
        case dict():
            return {k: copy(v) for k, v in value.items()}
        case set():
            return set(value)
        case ReplicatedLog():
            return copied(value)
    return value


def copied(thing: Any) -> Any:
    """Another process in the same state."""
    twin = copy(thing)
    twin.__dict__.update({name: _copied(value) for name, value in thing.__dict__.items()})
    return twin


class Channels(Struct, frozen=True):
    """What is on the way from one process to another."""

    queues: tuple[tuple[tuple[str, str], tuple[tuple[bytes, Any], ...]], ...] = ()

    def with_message(self, sender: str, to: str, said: Any) -> Channels:
        all_ = dict(self.queues)
        all_[sender, to] = (*all_.get((sender, to), ()), (encoded(said), said))
        return Channels(tuple(sorted(all_.items(), key=lambda pair: pair[0])))

    def deliverable(self, shuffled: bool) -> Iterator[tuple[str, str, Any, Channels]]:
        """What may come next: from whom, to whom, what; and what is on the way after that."""
        for at, ((sender, to), queue) in enumerate(self.queues):
            for k, (_, said) in enumerate(queue if shuffled else queue[:1]):
                rest = queue[:k] + queue[k + 1 :]
                kept = (((sender, to), rest),) if rest else ()
                yield sender, to, said, Channels(self.queues[:at] + kept + self.queues[at + 1 :])

    def cut(self) -> Iterator[tuple[str, str, Channels]]:
        """All that is on one way is lost: which, and what is left."""
        for at, ((sender, to), _) in enumerate(self.queues):
            yield sender, to, Channels(self.queues[:at] + self.queues[at + 1 :])

    def key(self, shuffled: bool) -> Hashable:
        told = ((pair, [content for content, _ in queue]) for pair, queue in self.queues)
        return tuple((pair, tuple(sorted(queue) if shuffled else queue)) for pair, queue in told)


class Connected(Protocol):
    """A state with messages on the way, and a number of moves of each kind that are left."""

    left: dict[str, int]
    channels: Channels


def cut(state: Connected, rest: Channels) -> None:
    """All that is on one way is lost."""
    state.left["cut"] -= 1
    state.channels = rest
