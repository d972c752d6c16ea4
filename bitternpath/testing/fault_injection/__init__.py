"""Fault-injection tests of the whole system: real processes on loopback with clients, workers and faults."""
