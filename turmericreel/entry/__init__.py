"""The entry role: HTTP handlers and the request path."""
