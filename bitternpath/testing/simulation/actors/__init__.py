"""Actors of a simulated run: operators, clients, workers, the platform, and the injection of faults."""
