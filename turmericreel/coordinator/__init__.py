"""Coordinators: replicate routing, register servers and evaluate roll-outs."""
