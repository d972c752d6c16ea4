"""An emulator of the world that the node serves: workers, sites, discovery, clients, the network, and what
goes wrong.

One world model, two drivers: virtual time (the real core of many nodes in one process, no sockets) and
wall time (real `serve` processes on loopback). An optional extra, `pip install bitternpath[lab]`; a
node never imports it.
"""
