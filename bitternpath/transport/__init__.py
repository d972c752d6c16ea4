"""Records that the nodes of a system exchange, their Avro encoding, and the links that carry them.

- `codec`, `frames`: records as bytes, and frames on a connection.
- `messages`: the set of all records, which numbers them; `*_messages`, `records`: the records by area.
- `links`, `link_liveness`, `dialler`, `hub`: a single connection, its pings, its dialling, and all
  connections of a process.
"""
