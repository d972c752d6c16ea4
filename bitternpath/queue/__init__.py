"""One shard of the durable queue: its replicated state, and what its owner decides."""
