"""Durable storage of a replicated log: segments, snapshots, term and identity."""
