"""Runs a reference policy behind the simulator's protocol: `python benchmarks/policy_host.py NAME`."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from bitternpath.balancer import simhost
from bitternpath.testing.emulator.policies import POLICIES

if __name__ == "__main__":
    simhost.Dispatcher = POLICIES[sys.argv[1]]  # type: ignore[misc]
    sys.exit(simhost.main())
