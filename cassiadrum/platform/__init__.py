"""Adapter to the users' platform: process settings, request headers and store rows."""

__all__: list[str] = []
