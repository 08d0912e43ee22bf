"""Adapter to the users' platform: settings, requests, store rows."""

__all__: list[str] = []
