"""Records that nodes of a system send one another, their Avro encoding, and the links that carry them.

- `codec`, `frames`: records as bytes, and bytes on a connection.
- `messages`: the set of all records, which numbers them; `*_messages`, `records`: the records by area.
- `links`, `link_liveness`, `dialler`, `hub`: one connection, its pings, its dialling, and all of a process.
"""
