"""Network utilities: receive buffer, dialling, socket limits, and HTTP/1.1 parsers."""
