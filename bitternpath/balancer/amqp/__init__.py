"""AMQP 0-9-1: frames and state machines (pure), publishers, subscribers (an upstream client), listener."""
