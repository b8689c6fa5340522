"""Decision logic without I/O: a view, the time and a random source are passed in."""
