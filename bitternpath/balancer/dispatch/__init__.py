"""Decisions of the balancer: events in, actions out, no I/O. It learns by `bitternpath.dispatch.network`."""
