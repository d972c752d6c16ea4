"""Tests of membership: partial views over a lossy network, and the bootstrap of a system."""
