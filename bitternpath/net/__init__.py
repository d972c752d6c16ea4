"""The real node: consumers and providers on sockets, round the decision module."""
