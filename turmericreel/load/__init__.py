"""The load tool."""
