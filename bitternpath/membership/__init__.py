"""Who is in the system: peer sampling over shuffled partial views, and the founding of the system."""
