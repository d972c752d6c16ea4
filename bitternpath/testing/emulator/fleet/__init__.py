"""The fleet in virtual time: consensus servers and lease holders under faults, with checkers of the fleet's
rules.

A seed determines a run completely: the same seed gives the same trace, byte for byte.
"""
