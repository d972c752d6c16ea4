"""Starts a role as a process, and ends it: signals, settings, the reactor's clock, garbage collection."""

from __future__ import annotations

import gc
import signal
import sys
import time
from typing import Any, Protocol

import logbook

from bitternpath.roles.logs import start_logging
from bitternpath.roles.settings import Settings, SettingsError, load_settings, settings_path

log = logbook.Logger("process")

EXIT_OK, EXIT_WRONG_SETTINGS = 0, 2
BLOCKED_AT_START = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class Role(Protocol):
    """A running role."""

    def start(self) -> None:
        """Listen and take part."""

    def reload(self) -> None:
        """The settings file has changed (SIGHUP)."""

    def shut_down(self, finished: Any) -> None:
        """Leave in order (SIGTERM), then call `finished()`; well inside the time of grace."""


def run_role(name: str) -> int:
    """Run `edge` or `storage` until it is stopped; the exit code."""
    try:
        settings = load_settings(settings_path())
    except SettingsError as error:
        print(f"bitternpath: {error}", file=sys.stderr)
        return EXIT_WRONG_SETTINGS
    start_logging(settings.node_name)
    reactor = _reactor()
    role = _make_role(name, reactor, settings)
    _handle_signals(reactor, role)
    reactor.callWhenRunning(role.start)
    gc.collect()
    gc.freeze()
    gc.enable()
    reactor.run(installSignalHandlers=False)
    return EXIT_OK


def _reactor() -> Any:
    """The reactor, with timers on the steady clock: the time of day may step by seconds."""
    from twisted.internet import reactor

    running: Any = reactor
    running.seconds = time.monotonic
    return running


def _make_role(name: str, reactor: Any, settings: Settings) -> Role:
    if name == "edge":
        from bitternpath.roles.edge_process import EdgeProcess

        return EdgeProcess(reactor, settings)
    from bitternpath.roles.storage_process import StorageProcess

    return StorageProcess(reactor, settings)


def _handle_signals(reactor: Any, role: Role) -> None:
    stopping = False

    def stop(_signal: int, _frame: Any) -> None:
        nonlocal stopping
        if not stopping:
            stopping = True
            reactor.callFromThread(role.shut_down, reactor.stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, lambda _signal, _frame: reactor.callFromThread(role.reload))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_AT_START)
