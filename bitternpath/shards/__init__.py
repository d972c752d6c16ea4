"""The edge node's client of the queue shards: owners, appends, attempt reports, pulls and look-ups.

`owners` knows which storage node owns which shard and sends requests there; the other modules each repeat one
kind of request until an owner has answered it or its deadline has passed. Nothing here is stored: all of it
is lost with the process, and none of it is needed to recover a message.
"""
