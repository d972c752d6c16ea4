"""The context that all actors of a test environment share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bitternpath.testing.fault_injection.records import Clock, History


@dataclass(frozen=True, slots=True)
class ActorContext:
    """An actor's reactor, its clock (seconds since the start of the run) and its history of observations."""

    reactor: Any
    clock: Clock
    history: History
