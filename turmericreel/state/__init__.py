"""Replicated state: commands, the tables that apply them, and durable storage."""
