"""Stand-in for the platform's lagging list of instances."""

from urllib.parse import unquote

import msgspec
import xxhash

from cassiadrum.protocols import HttpRequest
from cassiadrum.standins.answers import Answer
from cassiadrum.standins.faults import Faults
from cassiadrum.standins.standins import StandIn
from cassiadrum.stores import Instance

__all__ = ["InstanceListService"]


class InstanceListService(StandIn):
    """Serve the list as it was `lag_s` seconds ago."""

    def __init__(self, lag_s: float = 0.0) -> None:
        super().__init__()
        self.lag_s = lag_s
        self._present: dict[str, Instance] = {}
        self._past: list[tuple[float, tuple[Instance, ...]]] = []
        self._frozen: tuple[Instance, ...] = ()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults; `stale` keeps the list as it is seen now."""
        if faults.stale and not self.faults.stale:
            self._frozen = self._seen()
        super().set_faults(faults)

    def answer(self, req: HttpRequest) -> Answer:
        """List, register, deregister or mark an instance, or set the lag."""
        parts = [unquote(part) for part in req.path.split("/")[1:]]
        try:
            return self._route(req, parts)
        except (msgspec.MsgspecError, KeyError) as exc:
            return Answer.of_json(400, {"error": str(exc)})

    def _route(self, req: HttpRequest, parts: list[str]) -> Answer:
        match (req.method, parts):
            case ("GET", ["instances"]):
                return self._list(req)
            case ("PUT", ["instances", name]):
                raw = {**msgspec.json.decode(req.body, type=dict[str, str]), "instance": name}
                ordered = [raw[field] for field in Instance._fields]
                self._put(msgspec.convert(ordered, Instance))
            case ("DELETE", ["instances", name]):
                self._present.pop(name, None)
                self._record()
            case ("POST", ["instances", name, "leaving"]) if name in self._present:
                self._put(self._present[name]._replace(state="leaving"))
            case ("PUT", ["lag"]):
                self.lag_s = msgspec.json.decode(req.body, type=dict[str, float])["lag_s"]
            case _:
                return Answer.of_json(404, {"error": "not found"})
        return Answer.of_json(200, {})

    def _list(self, req: HttpRequest) -> Answer:
        answer = Answer.of_json(200, {"instances": self._listed()})
        etag = f'"{xxhash.xxh64_hexdigest(answer.body)}"'
        if req.header("if-none-match") == etag:
            return Answer(304, b"", answer.content_type, (("etag", etag),))
        return answer._replace(headers=(("etag", etag),))

    def _put(self, instance: Instance) -> None:
        self._present[instance.instance] = instance
        self._record()

    def _record(self) -> None:
        now = self.now()
        self._past.append((now, tuple(self._present.values())))
        # The newest snapshot older than the lag is the one in view; those before it are not
        # needed any more.
        while len(self._past) > 1 and self._past[1][0] <= now - self.lag_s:
            self._past.pop(0)

    def _seen(self) -> tuple[Instance, ...]:
        limit = self.now() - self.lag_s
        return next((seen for at, seen in reversed(self._past) if at <= limit), ())

    def _listed(self) -> list[dict[str, str]]:
        if self.faults.empty:
            return []
        if self.faults.wrong is not None:
            return self.faults.wrong
        seen = self._frozen if self.faults.stale else self._seen()
        return [instance._asdict() for instance in seen]


if __name__ == "__main__":
    InstanceListService.main()
