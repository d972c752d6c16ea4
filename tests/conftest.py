"""Marks the tests listed in KNOWN-RED.txt as strict expected failures and prints them in the summary.

Under pytest-xdist the workers collect, mark and run the tests; the controller checks the list and reports.
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
    """Return whether pytest was started without the path of a test or of a test file."""
    return not any("tests/" in argument for argument in config.invocation_params.args)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_auto_num_workers(config: pytest.Config) -> int:
    """Return the number of workers for `-n auto`: half of the cores.

    Many tests start processes and have time limits. Selected tests run in the controller, without workers:
    starting the workers would take longer than the tests.
    """
    return max(1, (os.cpu_count() or 1) // 2) if runs_all_tests(config) else 0


def reject_unknown_tests(config: pytest.Config, collected: Iterable[str]) -> None:
    """Raise UsageError if KNOWN-RED.txt lists a test that does not exist; checked only if all tests run."""
    if runs_all_tests(config) and (unknown := sorted(config.stash[KNOWN_FAILURES].keys() - set(collected))):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {unknown[0]}")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if not hasattr(config, "workerinput"):  # xdist workers leave the check to the controller
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
