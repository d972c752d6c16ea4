"""Dispatch on an edge node: from a lease to the report of its attempt, and call-backs.

`network` is the random neural network that picks workers; the balancer's dispatcher uses it as well. The rest
is the queue service's own: `deliveries` carries out leases, `selection` picks a listed worker, `callbacks`
carries out call-back requests.
"""
