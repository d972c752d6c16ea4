"""HTTP/1.1: the front (listener), the invoker (pool), the watch on discovery and the console."""
