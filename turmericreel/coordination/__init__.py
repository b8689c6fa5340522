"""Coordination: the replicated log, leases, and clients of the control instances."""
