"""What nodes of the system say to one another: typed records, their Avro encoding, and connections."""
