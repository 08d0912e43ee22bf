"""Deterministic simulation benchmarks in virtual time, with regression bounds."""
