"""Benchmarks with regression bounds, in virtual time."""
