"""The gateway: forwards client requests to servers by the configured routes."""
