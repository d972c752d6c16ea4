"""Starts a role as a process, and ends it: signals, settings, ports, a damaged disk, the reactor's clock."""

from __future__ import annotations

import gc
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from enum import IntEnum
from typing import Any, Protocol

import logbook
from twisted.internet.error import CannotListenError

from bitternpath.roles.logs import log_level, start_logging
from bitternpath.roles.machine import LocalMachine, Machine
from bitternpath.roles.settings import Settings, SettingsError
from bitternpath.storage.documents import CorruptDocumentError
from bitternpath.storage.node_disk import NodeDisk
from bitternpath.storage.records import CorruptJournalError

log = logbook.Logger("process")

BLOCKED_AT_START = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
PORT_RETRY_S = 0.1
PORT_PATIENCE_S = 5.0  # the process before may still be ending; a storage node ends within 4 s
ASIDE_SHARE = 0.25  # of the disk, for what was set aside: what an owner leaves free (roles/storage.py)


class ExitCode(IntEnum):
    """How a process of the system ends (docs/ERRORS.md)."""

    STOPPED = 0
    FAULT = 1
    WRONG_SETTINGS = 2
    NO_PORT = 3
    NO_DISK = 4


class Role(Protocol):
    """A running role."""

    def listen(self) -> None:
        """Open all ports; raises `CannotListenError`, and may be called again then."""

    def start(self) -> None:
        """Take part. Called once, in the reactor's turn in which the last port was opened."""

    def reload(self) -> None:
        """The settings file has changed (SIGHUP)."""

    def shut_down(self, finished: Callable[[], None]) -> None:
        """Leave in order (SIGTERM), then call `finished()`; well inside the time of grace."""


class RoleLifecycle:
    """One life of a role in a reactor: waits for its ports, starts it, stops it; has the exit code."""

    def __init__(self, reactor: Any, role: Role) -> None:
        self.reactor, self.role = reactor, role
        self.exit_code = ExitCode.STOPPED
        self._give_up_at = 0.0
        self._retry: Any = None
        self._started = self._ending = False

    def begin(self) -> None:
        """Called when the reactor runs."""
        self._give_up_at = self.reactor.seconds() + PORT_PATIENCE_S
        self._listen()

    def reload(self) -> None:
        """SIGHUP."""
        self.role.reload()

    def stop(self) -> None:
        """SIGTERM; further ones change nothing."""
        if self._ending:
            return
        if self._started:
            self._ending = True
            self.role.shut_down(self.reactor.stop)
        else:
            self._end(ExitCode.STOPPED)

    def _listen(self) -> None:
        try:
            self.role.listen()
        except CannotListenError as error:
            self._port_taken(error)
        except Exception:
            self._not_started()
        else:
            self._start()

    def _start(self) -> None:
        self._started = True
        try:
            self.role.start()
        except Exception:
            self._not_started()

    def _not_started(self) -> None:
        log.exception("event=not_started")
        self._end(ExitCode.FAULT)

    def _port_taken(self, error: CannotListenError) -> None:
        address = f"{error.interface}:{error.port}"
        if self.reactor.seconds() >= self._give_up_at:
            log.error("event=port_taken address={} error={!r}", address, str(error.socketError))
            self._end(ExitCode.NO_PORT)
            return
        if self._retry is None:
            log.warning("event=port_awaited address={} error={!r}", address, str(error.socketError))
        self._retry = self.reactor.callLater(PORT_RETRY_S, self._listen)

    def _end(self, code: ExitCode) -> None:
        self._ending = True
        self.exit_code = code
        if self._retry is not None and self._retry.active():
            self._retry.cancel()
        self.reactor.stop()


def run_role(name: str) -> int:
    """Run `edge` or `storage` until it is stopped; the exit code."""
    machine = LocalMachine()
    try:
        settings = machine.load_settings()
        level = log_level()
    except SettingsError as error:
        return _refuse(ExitCode.WRONG_SETTINGS, error)
    start_logging(settings.node_name, level)
    reactor = _reactor()
    try:
        life = RoleLifecycle(reactor, build_role(name, reactor, settings, machine))
    except SettingsError as error:
        return _refuse(ExitCode.WRONG_SETTINGS, error)
    except (OSError, CorruptJournalError, CorruptDocumentError) as error:
        log.error("event=disk_not_usable error={!r}", str(error))
        return ExitCode.NO_DISK
    _handle_signals(reactor, life)
    reactor.callWhenRunning(life.begin)
    gc.collect()
    gc.freeze()
    gc.enable()
    reactor.run(installSignalHandlers=False)
    return life.exit_code


def build_role(name: str, reactor: Any, settings: Settings, machine: Machine | None = None) -> Role:
    """The role, on a disk that can be read: damage makes it a node whose disk was lost.

    Such a disk isn't in its first life, whatever the settings say: the node must not found a system again.
    Raises `SettingsError`, `OSError`, and once more `CorruptJournalError` or `CorruptDocumentError` where the
    disk doesn't read back what is written on it now.
    """
    machine = machine or LocalMachine()
    disk = None if settings.data_dir is None else machine.disk(settings.data_dir)
    if disk is not None and disk.was_quarantined():
        settings = replace(settings, bootstrap=False)
    try:
        return _make_role(name, reactor, settings, machine)
    except (CorruptJournalError, CorruptDocumentError) as damage:
        assert disk is not None
        _set_aside(settings, disk, damage)
        return _make_role(name, reactor, replace(settings, bootstrap=False), machine)


def _set_aside(
    settings: Settings, disk: NodeDisk, damage: CorruptJournalError | CorruptDocumentError
) -> None:
    assert settings.data_dir is not None
    most = int(settings.disk_mb * (1 << 20) * ASIDE_SHARE) or None
    folder = disk.quarantine_content(most)
    log.error(
        "event=disk_set_aside file={} offset={} reason={!r} folder={}",
        damage.file,
        damage.offset,
        damage.reason,
        settings.data_dir / folder,
    )


def _refuse(code: ExitCode, error: SettingsError) -> ExitCode:
    print(f"bitternpath: {error}", file=sys.stderr)
    return code


def _reactor() -> Any:
    """The reactor, with timers on the steady clock: the time of day may step by seconds."""
    from twisted.internet import reactor

    running: Any = reactor
    running.seconds = time.monotonic
    return running


def _make_role(name: str, reactor: Any, settings: Settings, machine: Machine) -> Role:
    if name == "edge":
        from bitternpath.roles.edge_process import EdgeProcess

        return EdgeProcess(reactor, settings, machine)
    from bitternpath.roles.storage_process import StorageProcess

    return StorageProcess(reactor, settings, machine)


def _handle_signals(reactor: Any, life: RoleLifecycle) -> None:
    def stop(_signal: int, _frame: Any) -> None:
        reactor.callFromThread(life.stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, lambda _signal, _frame: reactor.callFromThread(life.reload))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_AT_START)
