"""Registries of backend servers and gateway instances, without any I/O."""
