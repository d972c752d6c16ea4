"""The emulated world in wall time: real `serve` processes on loopback sockets, driven by the platform's
protocol.

Workers, discovery, clients and the load balancer are those of virtual time, on Twisted's reactor instead
of the simulated clock. Each node reaches each worker at a separate address, so that the worker knows the
sender and its distance; delays between sites are added here. The emulator measures its own lateness and
declares a run void rather than blame a node.
"""
