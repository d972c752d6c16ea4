"""The HTTP servers of an edge node: for clients and pulling workers, for the platform, for the operator.

`servers` builds the three servers. Each is an `http_server.HttpServer` with connections of class
`channel.StrictChannel` and requests of class `http_requests.HttpRequest`. The resources behind it call the
node through `interfaces.NodeService`: `messages` accepts messages (parsed by `message_parser`), `client_api`
answers the service's own calls, `operator_api` forwards the operator's.
"""
