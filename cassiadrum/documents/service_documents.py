"""Document of one service."""

from typing import NamedTuple

from cassiadrum.documents.request_classes import RequestClass

__all__ = ["ServiceDocument"]


class ServiceDocument(NamedTuple):
    """Declaration of a service: kind (`model` or `plain`), endpoints and request classes."""

    name: str
    kind: str
    owner: str
    zones: tuple[str, ...]
    endpoints: int
    models: tuple[str, ...]
    classes: tuple[RequestClass, ...]

    def find_class(self, name: str) -> RequestClass | None:
        """Return the class with this name, or None."""
        return next((cls for cls in self.classes if cls.name == name), None)

    def match_class(self, method: str, path: str) -> RequestClass | None:
        """Return the first class that matches the method and path, or None."""
        return next((cls for cls in self.classes if cls.matches(method, path)), None)
