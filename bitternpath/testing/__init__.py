"""Test worlds: the balancer's emulator, the service in virtual time, real processes with injected faults."""
