"""Stewards and nodes' agents in virtual time, with faults, and the checkers of the fleet's rules.

One seed is one run: the same one gives the same run, byte for byte.
"""
