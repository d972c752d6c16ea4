"""What the older and the newer process of one node tell each other during an upgrade."""
