"""Exploring all states that can be reached from one, by all moves of each."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from typing import Any, Protocol, Self

from msgspec import Struct

Move = tuple[str, Callable[[Any], None]]  # its name, and what it does to a state


class State(Protocol):
    """A state of what is searched; `broken` says which rule does not hold in it, empty where all do."""

    violation: str

    def copy(self) -> Self: ...
    def key(self) -> Hashable: ...
    def moves(self) -> Iterator[Move]: ...


Step = tuple[int, int, State]  # its number, by how many moves it was reached, and itself
Frontier = deque[Step]


class SearchResult(Struct, frozen=True):
    """What came of a search."""

    states: int
    moves: int
    depth: int
    complete: bool  # nothing within the scope was left out
    violation: str = ""
    trace: tuple[str, ...] = ()  # the moves that lead there


def search(initial: State, max_states: int, pop: Callable[[Frontier], Step] = deque.popleft) -> SearchResult:
    """All states that can be reached, at most so many; ends at the first broken one.

    Breadth-first, so that its trail is a shortest one; with `deque.pop` depth-first, and fewer are held."""
    seen = {hash(initial.key())}  # of 64 bits: two states of a million taken for one at 3 in 100 million
    origins: list[tuple[int, str]] = [(-1, "")]  # per state: from which, by which move
    frontier: Frontier = deque([(0, 0, initial)])
    moves = max_depth = 0
    while frontier:
        number, depth, state = pop(frontier)
        max_depth = max(max_depth, depth)
        for name, apply in state.moves():
            successor = state.copy()
            apply(successor)
            moves += 1
            if successor.violation:
                return SearchResult(
                    len(seen), moves, depth + 1, False, successor.violation, _trace(origins, number, name)
                )
            key = hash(successor.key())
            if key not in seen:
                if len(seen) >= max_states:
                    return SearchResult(len(seen), moves, max_depth, False)
                seen.add(key)
                origins.append((number, name))
                frontier.append((len(origins) - 1, depth + 1, successor))
    return SearchResult(len(seen), moves, max_depth, True)


def _trace(origins: list[tuple[int, str]], number: int, last_move: str) -> tuple[str, ...]:
    names = [last_move]
    while number > 0:
        number, name = origins[number]
        names.append(name)
    return tuple(reversed(names))
