"""Runs a role as a process: settings, logging, damaged disks, ports, signals and the exit code."""

from __future__ import annotations

import gc
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from enum import Enum, IntEnum
from typing import Any, Protocol

import logbook
from twisted.internet.error import CannotListenError

from bitternpath.net.clock import Timer, cancel_if_active
from bitternpath.net.reactor import NodeReactor
from bitternpath.roles.environment import LocalEnvironment, ProcessEnvironment
from bitternpath.roles.logs import log_level, start_logging
from bitternpath.roles.settings import Settings
from bitternpath.roles.settings_reader import SettingsError
from bitternpath.storage.errors import CorruptDocumentError, CorruptJournalError
from bitternpath.storage.node_disk import NodeDisk

log = logbook.Logger("process")

SIGNALS_BLOCKED_AT_START = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
PORT_RETRY_INTERVAL_S = 0.1
PORT_RETRY_TIMEOUT_S = 5.0  # the previous process may still be ending; a storage node ends within 4 s
QUARANTINE_DISK_SHARE = 0.25  # share of the disk that `disk_capacity.MAX_USED_SHARE` leaves free


class ExitCode(IntEnum):
    """Exit codes of the system's processes (docs/ERRORS.md)."""

    STOPPED = 0
    FAULT = 1
    WRONG_SETTINGS = 2
    NO_PORT = 3
    NO_DISK = 4


class Role(Protocol):
    """An edge or a storage node, as its process controls it."""

    def listen(self) -> None:
        """Open all ports; may be called again after `CannotListenError`."""

    def start(self) -> None:
        """Start to take part in the system. Called once, in the reactor turn that opened the last port."""

    def reload(self) -> None:
        """Reload the settings file (SIGHUP)."""

    def shut_down(self, finished: Callable[[], None]) -> None:
        """Shut down gracefully (SIGTERM), then call `finished()`, well within the grace period."""


class LifecycleState(Enum):
    """The state of a process; it only ever moves to a later state."""

    WAITING_FOR_PORTS = "waiting for ports"
    RUNNING = "running"
    STOPPING = "stopping"


class RoleLifecycle:
    """The life cycle of a role in a reactor.

    Listening is retried while a port is in use; the role starts once all ports are open. A fault before or
    during the start ends the process with its own exit code; after the start, the process ends by `stop`.

    Attributes:
        role: the running role.
        exit_code: valid once the reactor has stopped.
        state: the state of the process.
    """

    def __init__(self, reactor: NodeReactor, role: Role) -> None:
        """`begin` must be called once `reactor` runs."""
        self.role = role
        self.exit_code = ExitCode.STOPPED
        self.state = LifecycleState.WAITING_FOR_PORTS
        self._reactor = reactor
        self._listen_deadline = 0.0
        self._retry: Timer | None = None

    def begin(self) -> None:
        """Start listening. Must be called when the reactor runs."""
        self._listen_deadline = self._reactor.seconds() + PORT_RETRY_TIMEOUT_S
        self._listen()

    def reload(self) -> None:
        """Reload the settings file (SIGHUP)."""
        self.role.reload()

    def stop(self) -> None:
        """End the process gracefully (SIGTERM); repeated calls have no effect."""
        match self.state:
            case LifecycleState.WAITING_FOR_PORTS:
                self._end(ExitCode.STOPPED)
            case LifecycleState.RUNNING:
                self._enter(LifecycleState.STOPPING)
                self.role.shut_down(self._reactor.stop)
            case LifecycleState.STOPPING:
                pass

    def _listen(self) -> None:
        try:
            self.role.listen()
        except CannotListenError as error:
            self._listen_failed(error)
        except Exception:
            self._start_failed()
        else:
            self._start()

    def _start(self) -> None:
        self._enter(LifecycleState.RUNNING)
        try:
            self.role.start()
        except Exception:
            self._start_failed()

    def _start_failed(self) -> None:
        log.exception("event=role_start_failed")
        self._end(ExitCode.FAULT)

    def _listen_failed(self, error: CannotListenError) -> None:
        address = f"{error.interface}:{error.port}"
        if self._reactor.seconds() >= self._listen_deadline:
            log.error("event=listen_failed address={} error={!r}", address, str(error.socketError))
            self._end(ExitCode.NO_PORT)
            return
        if self._retry is None:
            log.warning("event=listen_retrying address={} error={!r}", address, str(error.socketError))
        self._retry = self._reactor.callLater(PORT_RETRY_INTERVAL_S, self._listen)

    def _end(self, code: ExitCode) -> None:
        self.exit_code = code
        self._enter(LifecycleState.STOPPING)
        cancel_if_active(self._retry)
        self._reactor.stop()

    def _enter(self, state: LifecycleState) -> None:
        log.info(
            "event=process_state_changed old={!r} new={!r} exit_code={}",
            self.state.value,
            state.value,
            int(self.exit_code),
        )
        self.state = state


def run_role(name: str) -> int:
    """Run the role `edge` or `storage` until it is stopped; return the exit code of the process."""
    environment = LocalEnvironment()
    try:
        settings = environment.load_settings()
        level = log_level()
    except SettingsError as error:
        return _report_wrong_settings(error)
    start_logging(settings.node_name, level)
    reactor = _monotonic_reactor()
    try:
        lifecycle = RoleLifecycle(reactor, build_role(name, reactor, settings, environment))
    except SettingsError as error:
        return _report_wrong_settings(error)
    except (OSError, CorruptJournalError, CorruptDocumentError) as error:
        return _disk_unusable(error)
    _handle_signals(reactor, lifecycle)
    reactor.callWhenRunning(lifecycle.begin)
    gc.collect()
    gc.freeze()
    gc.enable()
    reactor.run(installSignalHandlers=False)
    return lifecycle.exit_code


def build_role(
    name: str, reactor: NodeReactor, settings: Settings, environment: ProcessEnvironment | None = None
) -> Role:
    """Build the role `edge` or `storage`; the content of a damaged disk is quarantined first.

    After a quarantine, the node continues as one whose disk was lost. Such a disk isn't a new one, whatever
    the settings say: the node must not bootstrap a system again.

    Raises:
        SettingsError: the role can't run with these settings.
        OSError: the disk can't be read or written.
        CorruptJournalError, CorruptDocumentError: after the quarantine, the disk doesn't read back what was
            written.
    """
    environment = environment or LocalEnvironment()
    disk = None if settings.data_dir is None else environment.disk(settings.data_dir)
    if disk is not None and disk.was_quarantined():
        settings = replace(settings, bootstrap=False)
    try:
        return _make_role(name, reactor, settings, environment)
    except (CorruptJournalError, CorruptDocumentError) as damage:
        assert disk is not None
        _quarantine(settings, disk, damage)
        return _make_role(name, reactor, replace(settings, bootstrap=False), environment)


def _make_role(name: str, reactor: NodeReactor, settings: Settings, environment: ProcessEnvironment) -> Role:
    if name == "edge":
        from bitternpath.roles.edge_process import EdgeProcess

        return EdgeProcess(reactor, settings, environment)
    from bitternpath.roles.storage_process import StorageProcess

    return StorageProcess(reactor, settings, environment)


def _quarantine(
    settings: Settings, disk: NodeDisk, damage: CorruptJournalError | CorruptDocumentError
) -> None:
    assert settings.data_dir is not None
    max_bytes = int(settings.disk_mb * (1 << 20) * QUARANTINE_DISK_SHARE) or None
    folder = disk.quarantine_content(max_bytes)
    log.error(
        "event=disk_quarantined file={} offset={} reason={!r} folder={}",
        damage.file,
        damage.offset,
        damage.reason,
        settings.data_dir / folder,
    )


def _report_wrong_settings(error: SettingsError) -> ExitCode:
    print(f"bitternpath: {error}", file=sys.stderr)
    return ExitCode.WRONG_SETTINGS


def _disk_unusable(error: Exception) -> ExitCode:
    """Log a fault outside the program, which a traceback wouldn't explain."""
    log.error("event=disk_unusable error={!r}", str(error))
    return ExitCode.NO_DISK


def _monotonic_reactor() -> Any:
    """Twisted's reactor with timers on the monotonic clock, as the wall clock may step by seconds."""
    from twisted.internet import reactor

    running: Any = reactor
    running.seconds = time.monotonic
    return running


def _handle_signals(reactor: NodeReactor, lifecycle: RoleLifecycle) -> None:
    """Handle signals in the reactor's thread; those blocked since the start are delivered now."""

    def stop(_signal: int, _frame: object) -> None:
        reactor.callFromThread(lifecycle.stop)

    def reload(_signal: int, _frame: object) -> None:
        reactor.callFromThread(lifecycle.reload)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS_BLOCKED_AT_START)
