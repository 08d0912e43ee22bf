"""Integration tests: real processes on loopback with injected faults."""
