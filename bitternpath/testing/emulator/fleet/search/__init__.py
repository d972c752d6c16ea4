"""Every order of events within a small scope: the pure parts of the fleet, state after state.

Where runs and walks draw one order out of many, this tries all that fit a scope: how often timers ring, how
many changes, crashes and cuts. A state is what the processes are, what their disks hold and what is on the
way. What one process sends another comes in its order, as a connection has it, at any time or never; a cut
loses all that is on one way. With `shuffled` it comes in any order, and any of it may be lost. Two scopes,
because one of all would not end:

- `Consensus`: three stewards, of which two stand for election; the record is a log of entries.
- `Leases`: one steward that may end and come back, and two nodes whose clocks run apart by the drift
  stated; time passes in steps, whoever has been told of it or not.

Each state is checked by what is true in it, not by what a process thinks. (The small-scope idea: Jackson,
Software Abstractions, 2006.)
"""
