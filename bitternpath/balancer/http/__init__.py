"""HTTP/1.1: the listener, the upstream client, the subscription to discovery, and the console."""
