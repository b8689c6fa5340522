"""Tables of the replicated state, one module each."""
