"""HTTP/1.1: parsers (pure), the front (listener), the invoker (pool) and the watch on discovery."""
