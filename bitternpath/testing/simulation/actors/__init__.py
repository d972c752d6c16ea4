"""Actors of a simulated run: operators, senders, workers, the platform, call-back receivers, faults."""
