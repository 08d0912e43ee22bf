"""Stand-in for the instance list of the platform, which lags behind."""

from urllib.parse import unquote

import msgspec
import xxhash

from cassiadrum.protocols import HttpRequest
from cassiadrum.standins.answers import Answer
from cassiadrum.standins.faults import Faults
from cassiadrum.standins.standins import StandIn
from cassiadrum.stores import Instance

__all__ = ["InstanceListService"]

# Longest lag that shows the list as it was before the lag was set.
MAX_LATER_LAG_S = 60.0


class InstanceListService(StandIn):
    """Stand-in that serves the list of instances as it was `lag_s` seconds ago."""

    def __init__(self, lag_s: float = 0.0) -> None:
        super().__init__()
        self.lag_s = lag_s
        self._instances: dict[str, Instance] = {}
        self._snapshots: list[tuple[float, tuple[Instance, ...]]] = []
        self._stale_snapshot: tuple[Instance, ...] = ()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults; `stale` freezes the list that is visible now."""
        if faults.stale and not self.faults.stale:
            self._stale_snapshot = self._lagged_snapshot()
        super().set_faults(faults)

    def answer(self, req: HttpRequest) -> Answer:
        """List, register or deregister instances, mark one as leaving, or set the lag."""
        parts = [unquote(part) for part in req.path.split("/")[1:]]
        try:
            return self._route(req, parts)
        except (msgspec.MsgspecError, KeyError) as exc:
            return Answer.from_object(400, {"error": str(exc)})

    def _route(self, req: HttpRequest, parts: list[str]) -> Answer:
        match (req.method, parts):
            case ("GET", ["instances"]):
                return self._list_instances(req)
            case ("PUT", ["instances", name]):
                raw = {**msgspec.json.decode(req.body, type=dict[str, str]), "instance": name}
                ordered = [raw[field] for field in Instance._fields]
                self._set_instance(msgspec.convert(ordered, Instance))
            case ("DELETE", ["instances", name]):
                self._instances.pop(name, None)
                self._add_snapshot()
            case ("POST", ["instances", name, "leaving"]) if name in self._instances:
                self._set_instance(self._instances[name]._replace(state="leaving"))
            case ("PUT", ["lag"]):
                self.lag_s = msgspec.json.decode(req.body, type=dict[str, float])["lag_s"]
            case _:
                return Answer.from_object(404, {"error": "not found"})
        return Answer.from_object(200, {})

    def _list_instances(self, req: HttpRequest) -> Answer:
        answer = Answer.from_object(200, {"instances": self._visible_instances()})
        etag = f'"{xxhash.xxh64_hexdigest(answer.body)}"'
        if req.header("if-none-match") == etag:
            return Answer(304, b"", answer.content_type, (("etag", etag),))
        return answer._replace(headers=(("etag", etag),))

    def _set_instance(self, instance: Instance) -> None:
        self._instances[instance.instance] = instance
        self._add_snapshot()

    def _add_snapshot(self) -> None:
        now = self.now()
        self._snapshots.append((now, tuple(self._instances.values())))
        # The newest snapshot that is older than the lag is the visible one. Older ones are kept
        # for a lag that is set later.
        kept_s = max(self.lag_s, MAX_LATER_LAG_S)
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - kept_s:
            self._snapshots.pop(0)

    def _lagged_snapshot(self) -> tuple[Instance, ...]:
        limit = self.now() - self.lag_s
        return next((seen for at, seen in reversed(self._snapshots) if at <= limit), ())

    def _visible_instances(self) -> list[dict[str, str]]:
        if self.faults.empty:
            return []
        if self.faults.wrong is not None:
            return self.faults.wrong
        seen = self._stale_snapshot if self.faults.stale else self._lagged_snapshot()
        return [instance._asdict() for instance in seen]


if __name__ == "__main__":
    InstanceListService.main()
