"""Stand-ins for external systems: backend server, rating service, weight store."""
