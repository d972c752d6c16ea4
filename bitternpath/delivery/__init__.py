"""Calls of an edge node to workers, endpoints and receivers of call-backs."""
