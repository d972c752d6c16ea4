"""HTTP clients of an edge node: deliveries to workers and endpoints, and call-backs to receivers.

`worker_client` is the entry for deliveries: it keeps one `pool` for each address, whose `connections` carry
one delivery (`exchanges`) at a time; `requests` and `responses` are the bytes either way. `callback_client`
is the entry for call-backs. Neither client ever repeats a request by itself: retries are decided by the
message's shard.
"""
