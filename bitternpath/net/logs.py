"""Log lines as key=value pairs."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

from twisted.logger import STDLibLogObserver, globalLogBeginner


class KeyValueFormatter(logging.Formatter):
    """`at=... level=... part=... event=...`, then what the call gave as `extra={"kv": {...}}`."""

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
            **getattr(record, "kv", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_value(value)}" for key, value in pairs.items())


def _value(value: object) -> str:
    text = f"{value:.1f}" if isinstance(value, float) else str(value)
    if text and not any(c in text for c in ' "=\n\r\\'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


def start(level: str, stream: TextIO = sys.stderr) -> None:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("twisted").setLevel(logging.ERROR)  # its own chatter about every connection
    observer: Any = STDLibLogObserver("twisted")
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
