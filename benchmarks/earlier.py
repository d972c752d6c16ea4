"""Imports the decision module of an earlier revision next to the current one."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
import tempfile
from operator import attrgetter
from pathlib import Path
from typing import Any

import bitternpath
from bitternpath.balancer import messages

ROOT = Path(__file__).parent.parent
MODULE_NAME = "brain_before"
# Types and fields of `messages` by their names in earlier revisions.
TYPE_NAMES = {
    "Alarm": "TimerFired", "Entry": "WorkerEntry", "Group": "DedupScope", "How": "AttemptOutcome",
    "JobNote": "JobProgress", "NEVER_RAN": "NOT_EXECUTED", "Outcome": "AttemptEnded",
    "RUNS_ON": "LIKELY_STILL_RUNNING", "State": "WorkerState", "StreamBegun": "StreamStarted",
    "Wake": "StartTimer", "Watch": "SubscribeToWorkers",
}  # fmt: skip
FIELD_NAMES = {
    "AttemptEnded": {"how": "outcome"},
    "JobClass": {
        "aim": "latency_target", "group": "dedup_scope", "late_worth": "late_value_share",
        "same": "shares_learning_with", "stretch": "work_factor", "window": "dedup_window",
    },
    "Settings": {
        "ask_for_list": "list_on_request", "fall_multiple": "overload_multiple", "fall_span": "overload_span",
        "marks_retry": "retries_marked", "me": "dispatcher_index",
        "tells_start": "reports_start",
    },
}  # fmt: skip


def earlier_dispatcher(revision: str) -> type[Any]:
    """Return class `Dispatcher` of a revision with all decisions in `bitternpath/brain.py`: up to 44bd19b."""
    source = subprocess.run(
        ["git", "show", f"{revision}:bitternpath/brain.py"], cwd=ROOT, check=True, capture_output=True
    ).stdout
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / f"{MODULE_NAME}.py"
        path.write_bytes(source)
        spec = importlib.util.spec_from_file_location(MODULE_NAME, path)
        assert spec is not None and spec.loader is not None
        sys.modules.setdefault("bitternpath.messages", messages)  # its module path in those revisions
        vars(bitternpath).setdefault("messages", messages)
        vars(messages).setdefault("ProbeResult", type("ProbeResult", (), {}))  # earlier revisions refer to it
        for earlier_name, current_name in TYPE_NAMES.items():
            vars(messages).setdefault(earlier_name, getattr(messages, current_name))
        for type_name, fields in FIELD_NAMES.items():
            for earlier_name, current_name in fields.items():
                setattr(getattr(messages, type_name), earlier_name, property(attrgetter(current_name)))
        module = importlib.util.module_from_spec(spec)
        sys.modules[MODULE_NAME] = module
        spec.loader.exec_module(module)
    dispatcher: type[Any] = module.Dispatcher
    return dispatcher
