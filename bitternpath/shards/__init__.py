"""The edge node's client of the queue shards: owners, appends, attempt reports, pulls and look-ups.

`owners` tracks which storage node owns which shard and sends requests to it. Each of the other modules
retries one kind of request until an owner has responded or its deadline has passed. All data is in memory
only; none of it is needed to recover a message after the process ends.
"""
