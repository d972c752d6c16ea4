"""Dispatch of leased messages on an edge node, and the network by which every dispatcher picks a worker."""
