"""Replication: consensus of one replica group (Raft), and many groups in one process.

Read `consensus` first: it has the table of a member's roles and the invariants. `group` puts a state machine
behind a consensus member, `host` runs the groups of a process, `member_changes` leads their membership to
what a placement names.
"""
