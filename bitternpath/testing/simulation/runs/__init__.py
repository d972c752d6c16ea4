"""Simulated runs: generation of plans from a seed, execution, and reduction of failing plans."""
