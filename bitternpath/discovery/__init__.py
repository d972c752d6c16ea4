"""Discovery of workers: reading the platform's endpoint list, and the catalogue of it that edge nodes hold.

The owner of the configuration group polls the list (`endpoint_list_poller`) and distributes each reading
over the feed; each edge node keeps the newest one (`catalogue`). An edge node whose catalogue is stale reads
the list itself (`endpoint_list_client`).
"""
