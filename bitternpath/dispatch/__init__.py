"""Learning and decisions of a dispatcher: the network that both dispatchers share, and the node's part."""
