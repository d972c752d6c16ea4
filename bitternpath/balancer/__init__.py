"""The balancer: the older kind of node (`deploy/balancer.toml`), which forwards jobs to workers."""
