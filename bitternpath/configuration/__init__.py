"""The operator's configuration: validated documents, replicated versions, and the feed that spreads them.

- `documents`, `json_documents`, `validation`, `patches`, `routing_table`: a document, from JSON to look-ups.
- `change_requests`, `change_evaluation`, `changes`, `results`: what becomes of an operator's change.
- `commands`, `state_machine`, `storage_membership`: the replicated state and what alters it.
- `feed_documents`, `feed_server`, `feed_client`, `owner_search`: the feed, at both ends.
- `liveness`, `placement`, `configuration_members`, `retirement`: which nodes hold what (pure decisions).
"""
