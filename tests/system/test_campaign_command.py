"""The command `bitternpath campaign`, with the simulated runs replaced by stubs."""

from __future__ import annotations

import gc
import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from click.testing import CliRunner

from bitternpath.cli import campaign
from bitternpath.testing.simulation.events import FaultKind
from bitternpath.testing.simulation.runs.coverage import Coverage


def run_reporting_gc_state(seed: int, faults: int) -> campaign.Outcome:
    """Stub of a run that passes if automatic garbage collection is enabled in its process."""
    return campaign.Outcome(gc.isenabled(), f"seed {seed}")


class InProcessExecutor:
    """Stub of `ProcessPoolExecutor` that makes the calls in this process, so that they need no pickling."""

    def __init__(self, processes: int) -> None:
        self.processes = processes

    def __enter__(self) -> InProcessExecutor:
        return self

    def __exit__(self, *_: object) -> None:
        """Do nothing: there are no processes to shut down."""

    def map(self, call: Callable[..., campaign.Outcome], *arguments: Any, chunksize: int = 1) -> Any:
        return map(call, *arguments)


class CampaignCommand(unittest.TestCase):
    def test_finished_runs_are_freed_without_automatic_collection(self) -> None:
        gc.disable()
        self.addCleanup(gc.enable)
        with patch.dict(campaign.WAYS, {"system": run_reporting_gc_state}):
            result = CliRunner().invoke(
                campaign.command, ["--way", "system", "--many", "2", "--jobs", "1"], standalone_mode=False
            )
        self.assertIn("0 broke a rule", result.output)

    def test_coverage_of_all_runs_is_printed(self) -> None:
        def run_with_coverage(seed: int, faults: int) -> campaign.Outcome:
            pairs = Counter({(FaultKind.KILL, FaultKind.PARTITION): 2})
            return campaign.Outcome(True, f"seed {seed}", Coverage(pairs, runs=1))

        with (
            patch.dict(campaign.WAYS, {"system": run_with_coverage}),
            patch.object(campaign, "ProcessPoolExecutor", InProcessExecutor),
        ):
            result = CliRunner().invoke(campaign.command, ["--way", "system", "--many", "3", "--jobs", "1"])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("coverage of 3 runs", result.output)
        self.assertIn("  kill crossed: cut 6\n", result.output)
        self.assertIn("  wipe crossed: nothing\n", result.output)


if __name__ == "__main__":
    unittest.main()
