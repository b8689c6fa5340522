"""Builds the tasks of one process from its settings."""
