"""Dispatch on an edge node: leases, from their grant to the report of the attempt, and call-backs.

`network` is the random neural network that selects workers; the balancer's dispatcher uses it too. The other
modules belong to the queue service: `deliveries` carries out leases, `selection` selects a listed worker,
`callbacks` sends call-backs.
"""
