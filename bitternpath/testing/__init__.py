"""Test harnesses: the balancer's emulator, the service in virtual time, real processes under faults."""
