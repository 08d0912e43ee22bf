"""Stand-in for the object store of the platform."""

from urllib.parse import unquote

from cassiadrum.protocols import HttpRequest
from cassiadrum.standins.answers import Answer
from cassiadrum.standins.standins import StandIn

__all__ = ["ObjectService"]


class ObjectService(StandIn):
    """Store objects by key in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.objects: dict[str, bytes] = {}

    def answer(self, req: HttpRequest) -> Answer:
        """Apply a request for one object."""
        parts = [unquote(part) for part in req.path.split("/")[1:]]
        match (req.method, parts):
            case ("GET", ["objects", key]) if key in self.objects:
                return Answer(200, self.objects[key], "application/octet-stream")
            case ("PUT", ["objects", key]):
                self.objects[key] = req.body
            case ("DELETE", ["objects", key]):
                self.objects.pop(key, None)
            case _:
                return Answer.from_object(404, {"error": "not found"})
        return Answer.from_object(200, {})


if __name__ == "__main__":
    ObjectService.main()
