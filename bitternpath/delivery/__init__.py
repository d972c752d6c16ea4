"""HTTP clients of an edge node: deliveries to workers and endpoints, and call-backs to receivers.

`worker_client` sends deliveries: it has one `pool` for each address, whose `connections` carry one delivery
(`exchanges`) at a time; `requests` encodes and `responses` decodes the HTTP messages. `callback_client` sends
call-backs. Neither client repeats a request by itself: the message's shard decides on retries.
"""
