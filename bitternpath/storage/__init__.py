"""Files of a node: versioned documents, the write-ahead log, the identity of the disk."""
