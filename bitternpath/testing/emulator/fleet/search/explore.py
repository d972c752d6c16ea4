"""Exploration of all states reachable from an initial one."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from typing import Any, Protocol, Self

from msgspec import Struct

Move = tuple[str, Callable[[Any], None]]  # description, and the change that it makes to a state


class State(Protocol):
    """A search state; `violation` names the rule that it breaks, empty if it breaks none."""

    violation: str

    def copy(self) -> Self: ...
    def key(self) -> Hashable: ...
    def moves(self) -> Iterator[Move]: ...


Step = tuple[int, int, State]  # number, depth in moves, state
Frontier = deque[Step]


class SearchResult(Struct, frozen=True):
    """The outcome of a search."""

    states: int
    moves: int
    depth: int
    complete: bool  # whether everything within the scope was covered
    violation: str = ""
    trace: tuple[str, ...] = ()  # the moves that lead to the violation


def search(initial: State, max_states: int, pop: Callable[[Frontier], Step] = deque.popleft) -> SearchResult:
    """Visits the reachable states, at most `max_states`; stops at the first violation.

    Breadth-first, so that a trace is a shortest one. With `deque.pop` the search is depth-first and holds
    fewer states in memory.
    """
    # 64-bit hashes: the probability that two of a million states collide is 3 in 100 million
    seen = {hash(initial.key())}
    origins: list[tuple[int, str]] = [(-1, "")]  # state number: the previous state and the move from it
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
