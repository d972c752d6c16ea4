"""The core: requests, endpoints and the broker between them. It knows no protocol and does no I/O."""
