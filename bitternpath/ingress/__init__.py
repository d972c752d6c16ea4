"""The HTTP servers of an edge node: for clients and pulling workers, for the platform, for the operator.

`servers` builds the three servers. Each is an `http_server.HttpServer`, whose connections are
`channel.StrictChannel` and whose requests are `http_requests.HttpRequest`. The resources behind it call the
node through `interfaces.NodeService`: `messages` accepts messages (`message_parser` reads them), `client_api`
answers the service's own calls, `operator_api` passes on the operator's.
"""
