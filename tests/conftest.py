"""Has the tests that KNOWN-RED.txt names fail as known: they are passed over, and must not pass.

Under pytest-xdist its processes collect, mark and run the tests; the one that was started reports.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

import pytest
from known_red import parse_known_red

if TYPE_CHECKING:
    from xdist.workermanage import WorkerController

pytest_plugins = "pytester"
KNOWN_FAILURES = pytest.StashKey[dict[str, str]]()


def pytest_configure(config: pytest.Config) -> None:
    file = config.rootpath / "KNOWN-RED.txt"
    try:
        config.stash[KNOWN_FAILURES] = parse_known_red(file.read_text() if file.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


def runs_all_tests(config: pytest.Config) -> bool:
    """Whether pytest was started without the name of a test or of a file of tests."""
    return not any("tests/" in argument for argument in config.invocation_params.args)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_auto_num_workers(config: pytest.Config) -> int:
    """What `-n auto` means: half of the cores; many tests start processes and have limits on time.

    None but this process for a part of the tests: there the start of others would take longest.
    """
    return max(1, (os.cpu_count() or 1) // 2) if runs_all_tests(config) else 0


def reject_unknown_tests(config: pytest.Config, collected: Iterable[str]) -> None:
    """UsageError where KNOWN-RED.txt names a test that is not there, if all tests are run."""
    if runs_all_tests(config) and (unknown := sorted(config.stash[KNOWN_FAILURES].keys() - set(collected))):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {unknown[0]}")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if not hasattr(config, "workerinput"):  # one of xdist's processes leaves that to the one that was started
        reject_unknown_tests(config, [item.nodeid for item in items])
    for item in items:
        if (cause := config.stash[KNOWN_FAILURES].get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node: WorkerController, ids: Sequence[str]) -> None:
    reject_unknown_tests(node.config, ids)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for test, cause in config.stash.get(KNOWN_FAILURES, {}).items():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause}")
