"""Domain types: identifiers, requests, failures, settings, operators' text."""
