"""Exploring all states that can be reached from one, by all moves of each."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from typing import Any, Protocol, Self

from msgspec import Struct

Move = tuple[str, Callable[[Any], None]]  # its name, and what it does to a state


class State(Protocol):
    """A state of what is searched; `broken` says which rule does not hold in it, empty where all do."""

    broken: str

    def copy(self) -> Self: ...
    def key(self) -> Hashable: ...
    def moves(self) -> Iterator[Move]: ...


Step = tuple[int, int, State]  # its number, by how many moves it was reached, and itself
Waiting = deque[Step]


class Found(Struct, frozen=True):
    """What came of a search."""

    states: int
    moves: int
    depth: int
    whole: bool  # nothing within the scope was left out
    broken: str = ""
    trail: tuple[str, ...] = ()  # the moves that lead there


def search(begin: State, most: int, next_: Callable[[Waiting], Step] = deque.popleft) -> Found:
    """All states that can be reached, at most so many; ends at the first broken one.

    Breadth-first, so that its trail is a shortest one; with `deque.pop` depth-first, and fewer are held."""
    seen = {hash(begin.key())}  # of 64 bits: two states of a million taken for one at 3 in 100 million
    came: list[tuple[int, str]] = [(-1, "")]  # per state: from which, by which move
    waiting: Waiting = deque([(0, 0, begin)])
    moves = deepest = 0
    while waiting:
        at, depth, state = next_(waiting)
        deepest = max(deepest, depth)
        for name, do in state.moves():
            after = state.copy()
            do(after)
            moves += 1
            if after.broken:
                return Found(len(seen), moves, depth + 1, False, after.broken, _trail(came, at, name))
            key = hash(after.key())
            if key not in seen:
                if len(seen) >= most:
                    return Found(len(seen), moves, deepest, False)
                seen.add(key)
                came.append((at, name))
                waiting.append((len(came) - 1, depth + 1, after))
    return Found(len(seen), moves, deepest, True)


def _trail(came: list[tuple[int, str]], at: int, last: str) -> tuple[str, ...]:
    names = [last]
    while at > 0:
        at, name = came[at]
        names.append(name)
    return tuple(reversed(names))
