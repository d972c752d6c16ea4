"""The two roles of a node, edge and storage: assembly, life cycle, and components specific to a role.

`process` runs a role; `edge_process` and `storage_process` are the life cycles; `edge` and `storage` assemble
the nodes from the other packages; `node_base` has the components common to both. Start reading with
`process`.

On a storage node: `hosted_shards` opens and closes shards; `shard_runtime`, `shard_ownership` and
`shard_requests` implement a single shard; `ownership_return`, `replica_garbage_collection` and
`membership_reports` keep owners and replicas in line with the placement; `quota_borrowing`, `disk_capacity`
and `feed_cache` are shared by all its shards.

On a counted edge node: `configuration_member` is the replica of the configuration group and runs the tasks of
the group's owner: `configuration_voters`, `live_nodes`, `shard_placement`, `retirements`; `bootstrap` creates
a new system.
"""
