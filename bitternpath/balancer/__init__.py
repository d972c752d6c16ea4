"""The balancer: the older node in service (`deploy/balancer.toml`), which passes jobs to workers."""
