"""Parser of KNOWN-RED.txt, the list of tests that fail because of a known, unfixed fault: at most three."""

from __future__ import annotations

import re

MAX_ENTRIES = 3
ENTRY_FORMAT = "TEST | CAUSE | issue NUMBER"
_ENTRY = re.compile(r"(?P<test>tests/\S+\.py::\S.*?) \| (?P<cause>\S.*?) \| issue [0-9]+")


def parse_known_red(text: str) -> dict[str, str]:
    """Return the cause of each listed test.

    Raises:
        ValueError: a line is malformed, a test is listed twice, or there are too many entries.
    """
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
