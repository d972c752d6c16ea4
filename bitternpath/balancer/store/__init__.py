"""State of a node that outlasts one process of it."""
