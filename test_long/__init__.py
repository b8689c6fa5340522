"""Long checks with real processes; each is run manually by one command."""
