"""What protocols need of a connection: one buffer, dialling, the count of sockets, and HTTP/1.1 parsers."""
