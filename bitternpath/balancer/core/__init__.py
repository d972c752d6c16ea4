"""The core: requests, endpoints and the broker between them. Independent of protocols, and without I/O."""
