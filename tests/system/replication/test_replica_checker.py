"""The checker of a replica group detects each kind of violation."""

from __future__ import annotations

import unittest

import msgspec

from bitternpath.testing.simulation.replica_checker import Checker, CommandLogMachine, InvariantViolationError


class ReplicaCheckerTest(unittest.TestCase):
    """Detection of each kind of violation."""

    def setUp(self) -> None:
        self.checker = Checker()
        self.checker.applied("n0", 0, b"x")

    def test_an_owner_with_stale_state(self) -> None:
        self.checker.acknowledge(b"x")
        self.checker.owns(1, "n0", 1)
        with self.assertRaises(InvariantViolationError):
            self.checker.owns(2, "n1", 0)

    def test_violations(self) -> None:
        checks = {
            "another command at the same index": lambda: self.checker.applied("n1", 0, b"y"),
            "applied twice": lambda: self.checker.applied("n1", 1, b"x"),
            "applied, then refused": lambda: self.checker.refuse(b"x"),
            "acknowledged, not applied": lambda: self.checker.acknowledge(b"z"),
            "two owners": lambda: (self.checker.owns(1, "n0", 9), self.checker.owns(1, "n1", 9)),
            "refused, then applied": lambda: (
                self.checker.refuse(b"y"),
                self.checker.applied("n1", 1, b"y"),
            ),
        }
        for name, check in checks.items():
            with self.subTest(name), self.assertRaises(InvariantViolationError):
                check()

    def test_a_snapshot_of_uncommitted_commands(self) -> None:
        state_machine = CommandLogMachine("n1", self.checker)
        with self.assertRaises(InvariantViolationError):
            state_machine.restore(msgspec.msgpack.encode([b"y"]))


if __name__ == "__main__":
    unittest.main()
