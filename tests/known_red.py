"""KNOWN-RED.txt: tests that fail for a real fault that is not mended yet; one line each, three at most."""

from __future__ import annotations

import re

MOST = 3
FORM = "TEST | CAUSE | issue NUMBER"
_LINE = re.compile(r"(?P<test>tests/\S+\.py::\S.*?) \| (?P<cause>\S.*?) \| issue [0-9]+")


def entries(text: str) -> dict[str, str]:
    """The cause by test; ValueError where a line is not of the form or where there are too many."""
    found: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        match = _LINE.fullmatch(line.strip())
        if match is None or match["test"] in found:
            raise ValueError(f"KNOWN-RED.txt, line {number}: must be '{FORM}', each test once: {line!r}")
        found[match["test"]] = match["cause"]
    if len(found) > MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(found)} tests, {MOST} at most")
    return found
