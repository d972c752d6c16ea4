"""The clock that leases are measured by: it counts while the machine sleeps, and never goes back."""

from __future__ import annotations

import time


def elapsed() -> float:
    """Seconds since some moment of this machine (clock_gettime(2), CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
