"""What clients, pulling workers and the operator reach: HTTP in front of an edge node."""
