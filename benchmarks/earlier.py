"""The decision module of an earlier revision, imported beside the present one."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import bitternpath
from bitternpath.balancer import messages

ROOT = Path(__file__).parent.parent
NAME = "brain_before"


def earlier_dispatcher(revision: str) -> type[Any]:
    """Class `Dispatcher` of a revision that has all decisions in `bitternpath/brain.py`: up to 44bd19b."""
    source = subprocess.run(
        ["git", "show", f"{revision}:bitternpath/brain.py"], cwd=ROOT, check=True, capture_output=True
    ).stdout
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / f"{NAME}.py"
        path.write_bytes(source)
        spec = importlib.util.spec_from_file_location(NAME, path)
        assert spec is not None and spec.loader is not None
        sys.modules.setdefault("bitternpath.messages", messages)  # where it was then
        vars(bitternpath).setdefault("messages", messages)
        vars(messages).setdefault("ProbeResult", type("ProbeResult", (), {}))  # earlier revisions name it
        module = importlib.util.module_from_spec(spec)
        sys.modules[NAME] = module
        spec.loader.exec_module(module)
    dispatcher: type[Any] = module.Dispatcher
    return dispatcher
