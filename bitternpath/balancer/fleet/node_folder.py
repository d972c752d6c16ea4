"""A node's folder: the audit logs of its processes and the plan last applied, written by a separate thread.

A write to disk may take long, and no invocation may wait for it. So entries are queued here, and the
`LeaseHolder` is notified when they are on file. Only then are they sent to a consensus server, because the
record must hold no entry that the process's own file may lack.
Files: `acts-BOOT`, a process's audit log with one JSON array per line, and `plan` (msgpack).
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import structlog
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure
from twisted.python.threadpool import ThreadPool

from bitternpath.balancer.fleet import audit
from bitternpath.balancer.fleet import plan as p

log = structlog.get_logger(part="record_client")

PLAN_FILE, AUDIT_FILE_PREFIX = "plan", "acts-"
write_bytes = os.write  # tests replace it by a slow or failing disk


class NodeFolder:
    """An open folder.

    `on_written` is called with the number of the last entry on file, or with None once writing has failed.
    """

    def __init__(self, reactor: Any, path: Path, boot: str, on_written: Callable[[int | None], None]) -> None:
        """Open or create the folder; raise OSError if it can't be created or written to."""
        self.reactor, self.path, self.boot, self.on_written = reactor, path, boot, on_written
        path.mkdir(parents=True, exist_ok=True, mode=0o700)
        self._file = os.open(
            path / f"{AUDIT_FILE_PREFIX}{boot}", os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600
        )
        self._queued_entries: list[audit.AuditEntry] = []
        self._queued_plan: p.Plan | None = None
        self._writing = self._failed = False
        self._disk_thread = ThreadPool(0, 1, name="files")
        self._disk_thread.start()
        reactor.addSystemEventTrigger("during", "shutdown", self._disk_thread.stop)

    # ---- files of earlier processes

    def older(self) -> list[audit.AuditLog]:
        """Return the audit logs of earlier processes, the oldest first; faults are logged."""
        audit_logs = []
        for file in sorted(self.path.glob(f"{AUDIT_FILE_PREFIX}*"), key=lambda file: file.stat().st_mtime):
            boot = file.name.removeprefix(AUDIT_FILE_PREFIX)
            if boot == self.boot:
                continue
            entries, decode_error = [], ""
            try:
                for line in file.read_bytes().splitlines():
                    entries.append(msgspec.json.decode(line, type=audit.AuditEntry))
            except (OSError, msgspec.DecodeError) as error:
                decode_error = f"line {len(entries) + 1}: {error}"  # a torn last line, or a changed file
            audit_log, fault = audit.restore_audit_log(boot, entries)
            if decode_error or fault:
                log.error("earlier_audit_log_corrupt", file=str(file), why=fault or decode_error)
            if entries:
                audit_logs.append(audit_log)
            else:
                file.unlink(missing_ok=True)
        return audit_logs

    def plan(self) -> p.Plan | None:
        """Return the plan last applied, or None if there is none that can be read."""
        try:
            return msgspec.msgpack.decode((self.path / PLAN_FILE).read_bytes(), type=p.Plan)
        except FileNotFoundError:
            return None
        except (OSError, msgspec.DecodeError) as error:
            log.warning("last_plan_read_failed", why=error)
            return None

    # ---- writes

    def write(self, entries: list[audit.AuditEntry], plan: p.Plan | None) -> None:
        """Queue entries, in order, and a plan, which replaces the one on file."""
        if self._failed:
            return
        self._queued_entries += entries
        self._queued_plan = plan or self._queued_plan
        if len(self._queued_entries) > audit.MAX_UNACKNOWLEDGED_ENTRIES:
            self._give_up(f"a write has not completed, and {len(self._queued_entries)} entries wait for it")
        elif not self._writing:
            self._write_queued()

    def _write_queued(self) -> None:
        if not self._queued_entries and self._queued_plan is None:
            return
        entries, plan, self._queued_entries, self._queued_plan = (
            self._queued_entries,
            self._queued_plan,
            [],
            None,
        )
        self._writing = True
        writing: Any = deferToThreadPool(self.reactor, self._disk_thread, self._write_files, entries, plan)
        writing.addCallbacks(lambda _: self._write_completed(entries), self._write_failed)

    def _write_files(self, entries: list[audit.AuditEntry], plan: p.Plan | None) -> None:
        """Runs in the disk thread."""
        data = b"".join(msgspec.json.encode(entry) + b"\n" for entry in entries)
        while data:
            data = data[write_bytes(self._file, data) :]
        if plan is not None:
            temporary = self.path / f"{PLAN_FILE}.{self.boot}"
            temporary.write_bytes(msgspec.msgpack.encode(plan))
            os.replace(temporary, self.path / PLAN_FILE)

    def _write_completed(self, entries: list[audit.AuditEntry]) -> None:
        self._writing = False
        if self._failed:
            return
        if entries:
            self.on_written(entries[-1].number)
        if not self._writing:  # `on_written` may have queued more
            self._write_queued()

    def _write_failed(self, failure: Failure) -> None:
        self._writing = False
        self._give_up(failure.getErrorMessage())

    def _give_up(self, reason: str) -> None:
        if not self._failed:
            self._failed, self._queued_entries, self._queued_plan = True, [], None
            log.error("audit_log_write_failed", folder=str(self.path), why=reason)
            self.on_written(None)
