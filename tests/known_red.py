"""KNOWN-RED.txt: tests that fail for a real fault that is not mended yet; one line each, three at most."""

from __future__ import annotations

import re

MAX_ENTRIES = 3
ENTRY_FORMAT = "TEST | CAUSE | issue NUMBER"
_ENTRY = re.compile(r"(?P<test>tests/\S+\.py::\S.*?) \| (?P<cause>\S.*?) \| issue [0-9]+")


def parse_known_red(text: str) -> dict[str, str]:
    """The cause by test; ValueError where a line is not of the form or where there are too many."""
    causes: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        match = _ENTRY.fullmatch(line.strip())
        if match is None or match["test"] in causes:
            raise ValueError(
                f"KNOWN-RED.txt, line {number}: must be '{ENTRY_FORMAT}', each test once: {line!r}"
            )
        causes[match["test"]] = match["cause"]
    if len(causes) > MAX_ENTRIES:
        raise ValueError(f"KNOWN-RED.txt: {len(causes)} tests, {MAX_ENTRIES} at most")
    return causes
