"""A model-aware router for pooled model capacity, with accurate usage accounting."""
