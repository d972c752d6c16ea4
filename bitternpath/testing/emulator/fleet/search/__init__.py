"""Exhaustive search of event orders within a small scope, over the pure parts of the fleet.

Random runs and schedules draw one order of many; the search covers every order that fits a scope, which
bounds how often timers fire, changes are made, servers crash and channels lose data. A state consists of
the processes, their disks and the messages in transit. Messages between two processes arrive in order, as
on a connection, at any time or never; a cut loses all messages of one channel. With `shuffled`, messages
arrive in any order and any of them may be lost. There are two scopes because a combined one would be too
large to finish:

- `Consensus`: three servers, of which two stand for election; the record is a log of entries.
- `Leases`: one server that may crash and restart, and two nodes whose clocks differ by the configured
  drift; time passes in steps, whether or not a process has noticed.

Invariants are checked on the true state, not on what a process believes. (Small-scope hypothesis: Jackson,
Software Abstractions, 2006.)
"""
