"""AMQP 0-9-1: frames and state machines (pure), front (publishers), invoker (subscribers), listener."""
