"""`bitternpath campaign`: what the command itself does."""

from __future__ import annotations

import gc
import unittest
from unittest.mock import patch

from click.testing import CliRunner

from bitternpath.cli import campaign


def collects(seed: int, faults: int) -> tuple[bool, str]:
    """Stands for a run; kept where its process frees what runs leave behind."""
    return gc.isenabled(), f"seed {seed}"


class CampaignCommand(unittest.TestCase):
    def test_finished_runs_are_freed_without_automatic_collection(self) -> None:
        gc.disable()
        self.addCleanup(gc.enable)
        with patch.dict(campaign.WAYS, {"system": collects}):
            result = CliRunner().invoke(
                campaign.command, ["--way", "system", "--many", "2", "--jobs", "1"], standalone_mode=False
            )
        self.assertIn("0 broke a rule", result.output)


if __name__ == "__main__":
    unittest.main()
