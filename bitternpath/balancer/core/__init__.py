"""The core: invocations, providers and the broker between them. It knows no protocol and does no I/O."""
