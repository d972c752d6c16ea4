"""What lasts longer than one process of a node."""
