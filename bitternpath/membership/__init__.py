"""Membership of the system: peer sampling over shuffled partial views, and the bootstrap decision."""
