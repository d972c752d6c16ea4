"""Hand-over of listening socket and state from the older to the newer process of a node during an upgrade."""
