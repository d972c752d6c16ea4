"""AMQP 0-9-1 server: frame codec and state machine (no I/O), publishers, subscribers (as upstream client)."""
