"""Runs a scenario once with real nodes, on the installed reactor."""

from __future__ import annotations

import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from bitternpath.testing.emulator.scenario import Scenario, ScenarioError
from bitternpath.testing.emulator.sockets.world import SocketWorld
from bitternpath.testing.emulator.world import Result

MAX_LATENESS = 0.050  # p99 of the emulator's own lateness (s) above which a run is void


class VoidError(Exception):
    """The machine was too busy for a meaningful run."""


def _unsupported_on_sockets(scenario: Scenario) -> str:
    """The setting that real nodes can't emulate; empty if there is none."""
    if scenario.discovery.calls_per_s:
        return "discovery.calls_per_s"
    if any(kind.connections for kind in scenario.kinds):
        return "kinds.connections"
    return "troubles: replace" if any(t.kind == "replace" for t in scenario.troubles) else ""


def play_on_sockets(
    scenario: Scenario, seed: int, each_second: Callable[[SocketWorld], None] | None = None
) -> Result:
    """Runs a scenario once with real nodes; VoidError if the machine was too busy to judge.

    Violations found in the records of the fleet's processes count however busy the machine was.
    """
    unsupported = _unsupported_on_sockets(scenario)
    if unsupported:
        raise ScenarioError(f"{scenario.name}: {unsupported}: in virtual time only, leave out --sockets")
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    with tempfile.TemporaryDirectory(prefix="bitternpath-") as folder:
        world = SocketWorld(scenario, seed, reactor, Path(folder))
        started = time.perf_counter()
        interrupted: list[bool] = []

        def on_finished() -> None:
            reactor.callLater(0.1, reactor.stop)

        def on_interrupt(number: int, frame: object) -> None:
            interrupted.append(True)
            reactor.callFromThread(reactor.stop)

        def tick() -> None:
            if each_second is not None:
                each_second(world)
            reactor.callLater(1.0, tick)

        previous_handlers = {
            number: signal.signal(number, on_interrupt) for number in (signal.SIGINT, signal.SIGTERM)
        }
        reactor.callWhenRunning(world.play, on_finished)
        reactor.callLater(1.0, tick)
        try:
            reactor.run(installSignalHandlers=False)
        finally:
            world.close()
            for number, handler in previous_handlers.items():
                signal.signal(number, handler)
        if interrupted:
            raise KeyboardInterrupt
        result = world.final_result(time.perf_counter() - started)
        if world.fleet is not None and world.fleet.violations:
            return result
        if world.lateness_p99 > MAX_LATENESS:
            lateness = f"{world.lateness_p99 * 1000:.0f} ms"
            raise VoidError(
                f"void: the emulator itself was {lateness} late at p99, {MAX_LATENESS * 1000:.0f} ms allowed"
            )
        if world.processor_waits.excused:
            raise VoidError(f"void: the machine was too busy: {world.processor_waits.excused[0]}")
        return result
