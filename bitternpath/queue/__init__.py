"""One shard of the durable queue: its replicated state, and the decisions of the shard's owner.

A shard is a replica group with a log of commands. Everything here is pure: time and randomness are arguments,
and the roles that hold the parts (`roles/`) do the input and output.

Replicated, the same on every replica:

- `commands`: what the log holds; `results`: what applying a command did
- `state`, with `entries` and `order_queues`: the messages; `snapshot`: their encoding on disk
- `sharding`: which shard keeps a message, and the identifiers that name the shard

Known to the owner alone, lost with the ownership:

- `owner`: `ShardOwner`, which takes events and returns `actions`
- `lifecycle`, with `tracked_messages`, `placement`, `routes` and `timers`: the phases of unended messages
- `lease_granting` and `lease_table`: which messages are leased, and to whom (`edge_nodes`, `long_polls`)
- `service_queues`, with `ready_queue`, `adaptive_limit`, `rate_limits`, `token_bucket` and `quota_leases`:
  the order and the limits of each service
- `backoff`: delays before a retry
- `ended_messages`, with `callbacks` and `tombstones`: what is still owed for messages that have ended

The states of a message are one table in `tracked_messages`, those of a lease one in `lease_table`.
"""
