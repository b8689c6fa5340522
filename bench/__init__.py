"""Measurements, most of which start processes; none of them runs in CI."""
