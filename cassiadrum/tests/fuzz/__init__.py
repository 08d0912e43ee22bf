"""Fuzz tests: generated input at every interface that reads data from outside."""
