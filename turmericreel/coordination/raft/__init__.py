"""Raft: a consensus core without I/O, and the task that drives it."""
