"""Records that nodes of the system send one another, their Avro encoding, and the links that carry them."""
