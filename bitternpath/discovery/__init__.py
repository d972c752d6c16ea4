"""Discovery of workers: reads the platform's endpoint list, and maintains an edge node's catalogue of it.

The owner of the configuration group polls the list (`endpoint_list_poller`) and distributes each reading over
the feed; each edge node stores the newest one (`catalogue`). An edge node whose catalogue is stale reads the
list itself (`endpoint_list_client`).
"""
