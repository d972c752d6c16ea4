"""The operator's configuration: validated documents, replicated versions, and their distribution by a feed.

- `documents`, `json_documents`, `validation`, `patches`, `routing_table`: documents, from JSON to look-ups.
- `change_requests`, `change_evaluation`, `changes`, `results`: processing of an operator's changes.
- `commands`, `state_machine`, `storage_membership`: the replicated state and the commands that change it.
- `feed_documents`, `feed_server`, `feed_client`, `owner_search`: server and client of the feed.
- `liveness`, `placement`, `configuration_members`, `retirement`: pure decisions on the placement of replicas.
"""
