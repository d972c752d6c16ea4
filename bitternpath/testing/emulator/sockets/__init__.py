"""The same world in wall time: real `serve` processes on loopback sockets, spoken to by the platform's
protocol.

Workers, discovery, clients and the front are the model's, on Twisted's reactor instead of the simulated
clock. Each node reaches each worker at an address of its own, so that the worker knows who sends and
how far away that is; the delay between sites is added here. The world measures its own lateness, and
calls a run void rather than blame nodes.
"""
