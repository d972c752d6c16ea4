"""The decision module of the balancer: events in, actions out, no I/O. It learns with `dispatch.network`."""
