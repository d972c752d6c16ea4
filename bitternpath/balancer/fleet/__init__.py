"""What the nodes of a fleet agree on: the record, its servers, leases, the audit (docs/design/fleet.md)."""
