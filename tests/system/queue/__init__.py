"""Tests of `bitternpath.queue`: conformance of its parts, and seeded worlds with broken builds."""
