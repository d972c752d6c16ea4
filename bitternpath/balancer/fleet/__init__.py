"""What many processes of the program agree on: the record, leases, the audit (docs/design/fleet.md)."""
