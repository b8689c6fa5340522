"""Control role: serves proposals, subscriptions and leases over the replicated log."""
