"""Simulated runs: plans drawn from a seed, playing them, and reducing those that fail."""
