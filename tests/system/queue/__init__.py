"""Tests of `bitternpath.queue`: conformance tests, and seeded simulations with correct and faulty builds."""
