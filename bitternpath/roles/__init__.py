"""The two roles of a node, edge and storage: assembly, life cycle, and the parts that exist in a role only.

Where to begin: `process` runs a role; `edge_process` and `storage_process` are the life cycles; `edge` and
`storage` assemble the nodes from the other packages; `node_base` has what both have in common.

On a storage node: `hosted_shards` opens and closes shards; `shard_runtime`, `shard_ownership` and
`shard_requests` are one shard each; `ownership_return`, `replica_garbage_collection` and `membership_reports`
keep owners and replicas where the placement wants them; `quota_borrowing`, `disk_capacity` and `feed_cache`
serve all its shards.

On a counted edge node: `configuration_member` is the replica of the configuration group, and with it the work
of the group's owner: `configuration_voters`, `live_nodes`, `shard_placement`, `retirements`; `bootstrap`
founds a system.
"""
