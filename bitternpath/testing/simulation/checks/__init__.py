"""Observations of the actors of a simulated run, and checkers of the rules (RULES) that read nothing else."""
