"""One shard of the durable queue: its replicated state and the decisions of the shard's owner.

A shard is a replica group with a log of commands. The package does no input or output: time and randomness
are passed in as arguments, and the roles in `roles/` carry out the actions.

Replicated state, identical on every replica:

- `commands`: the entries of the log; `results`: the effect of applying a command
- `state`, with `entries` and `order_queues`: the messages; `snapshot`: their encoding on disk
- `sharding`: which shard stores a message, and the identifiers that contain the shard's number

State in the owner's memory, lost when ownership changes:

- `owner`: `ShardOwner`, which receives events and returns `actions`
- `lifecycle`, with `tracked_messages`, `phase_assignment`, `routes` and `timers`: the phases of messages
  that have not ended
- `lease_granting` and `lease_table`: which messages are leased and to which holder (`edge_nodes`,
  `long_polls`)
- `service_queues`, with `ready_queue`, `adaptive_limit`, `rate_limits`, `token_bucket` and `quota_leases`:
  the order and the limits of each service
- `backoff`: delays before a retry
- `ended_messages`, with `callbacks` and `tombstones`: call-backs and tombstones of messages that have ended

`tracked_messages` has the table of message phases, `lease_table` the table of lease states.
"""
