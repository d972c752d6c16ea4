"""Replication of state machines by Raft, for many replica groups in one process.

Start reading at `consensus`, which documents the role transitions and invariants. `group` combines a
consensus member with a state machine, `host` runs the groups of a process, and `membership_reconciler`
changes their members step by step to those of a placement.
"""
