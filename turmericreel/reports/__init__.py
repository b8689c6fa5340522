"""Statements and service-level reports computed from recorded data."""
