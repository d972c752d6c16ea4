"""The clock for leases: it also counts while the machine is suspended, and never goes back."""

from __future__ import annotations

import time


def elapsed() -> float:
    """Return the seconds since the machine booted (clock_gettime(2), CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
