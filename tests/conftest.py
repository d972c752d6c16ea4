"""Has the tests that KNOWN-RED.txt names fail as known: they are passed over, and must not pass."""

from __future__ import annotations

import pytest
from known_red import entries

pytest_plugins = "pytester"
RED = pytest.StashKey[dict[str, str]]()


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    file = config.rootpath / "KNOWN-RED.txt"
    try:
        red = entries(file.read_text() if file.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    config.stash[RED] = red
    known = {item.nodeid: item for item in items}
    whole = not config.invocation_params.args or not any("tests/" in a for a in config.invocation_params.args)
    if whole and (unknown := sorted(red.keys() - known.keys())):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {unknown[0]}")
    for test, cause in red.items():
        if test in known:
            known[test].add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for test, cause in config.stash.get(RED, {}).items():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause}")
