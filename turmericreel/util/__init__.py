"""Helpers that are independent of the routing domain."""
