"""HTTP/1.1: the front (listener), the upstream client (pool), the watch on discovery and the console."""
