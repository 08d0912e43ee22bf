"""Tests with real processes and injected faults."""
