"""An emulator of a node's environment: workers, sites, discovery, clients, the network, and injected faults.

One model, two drivers: virtual time (the real core of many nodes in one process, no sockets) and wall time
(real `serve` processes on loopback). Installed by the optional extra `pip install bitternpath[lab]`; a
node never imports it.
"""
