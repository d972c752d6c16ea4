"""A rehearsal of the whole system: real processes on loopback, in a world of clients, workers and faults."""
