"""Seeded simulations that run the real decision code."""
