"""State of a node that persists across restarts of its processes."""
