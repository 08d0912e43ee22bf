"""The registered endpoints with the local state of each."""

import logging
from collections.abc import Callable, Iterable

from cassiadrum.gateways.endpoint_entries import EndpointEntry, Incarnation
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.removed_incarnations import RemovedIncarnations
from cassiadrum.logs import RATE_LIMITED_FIELD

__all__ = ["EndpointDirectory"]

logger = logging.getLogger(__name__)


# Fraction of `contact_s`; the rest covers the time that a request takes to reach its endpoint.
CONTACT_FRACTION = 0.9


class EndpointDirectory:
    """The endpoints that are registered in the store; times are monotonic seconds.

    Registrations expire during an outage of the store, and live endpoints need up to
    `return_grace_s` to register again. An entry that is missing after an outage is therefore kept
    for that time.

    A store that was restored from an older copy contains incarnations again that had left or had
    expired. An incarnation that announced its leaving is never used again. An expired one is used
    only if its registration still exists after `lapse_s`, when that of a dead endpoint has expired
    again.
    """

    def __init__(
        self,
        make_view: Callable[[EndpointEntry], EndpointView],
        on_removed: Callable[[Incarnation], None],
        return_grace_s: float,
        lapse_s: float = 0.0,
        contact_s: float = float("inf"),
    ) -> None:
        # Time after the loss of connections in which this process acts on the store's news again.
        self.contact_s = contact_s
        # Whether a full list has been received; until then, a missing endpoint may be unknown.
        self.has_full_list = False
        self._make_view = make_view
        self._on_removed = on_removed
        self._return_grace_s = return_grace_s
        self._views: dict[str, EndpointView] = {}
        # Instances that were removed shortly after an outage, with the end of their grace period.
        self._lapsed: dict[str, float] = {}
        self._grace_until_s = 0.0
        self._lapse_s = lapse_s
        self._removed = RemovedIncarnations()
        # Registrations of a restored store whose endpoints are not known to be alive.
        self._unconfirmed: dict[str, EndpointEntry] = {}
        self._unconfirmed_until_s = 0.0
        # Time of the last call of `expire`, which is called periodically.
        self._now = 0.0

    def __len__(self) -> int:
        return len(self._views)

    def store_returned(self, now: float, last_answer_s: float | None = None) -> None:
        """Start the grace period after an outage of the store.

        With `last_answer_s` a single call has failed since then, and the store may not have been
        away at all: an endpoint that it says is gone is kept only as long as that may be unknown.
        """
        self._grace_until_s = now + self._return_grace_s
        if last_answer_s is not None:
            known_s = last_answer_s + CONTACT_FRACTION * self.contact_s
            self._grace_until_s = min(self._grace_until_s, known_s)

    def store_restored(self, now: float) -> None:
        """Record that the next full list comes from a store restored from an older copy."""
        self.store_returned(now)
        self._unconfirmed_until_s = now + self._lapse_s
        for view in self._views.values():
            view.leaving = view.leaving or view.entry.leaving

    def put(self, entry: EndpointEntry) -> None:
        """Add or update an endpoint; a new incarnation gets a new view."""
        self._lapsed.pop(entry.instance, None)
        self._unconfirmed.pop(entry.instance, None)
        view = self._views.get(entry.instance)
        if view is not None and view.entry.incarnation == entry.incarnation:
            if entry.leaving and not view.entry.leaving:
                _log("endpoint draining", entry)
            view.entry = entry
            return
        if view is not None:
            self._removed.add(view.entry.incarnation, self._now, left=True)
            self._on_removed(view.entry.incarnation)
        view = self._views[entry.instance] = self._make_view(entry)
        # The incarnation may have requested a pause before its registration expired.
        view.paused_until_s = self._removed.paused_until_s(entry.incarnation)
        _log("endpoint in", entry, slots=entry.slots, cold_s=entry.cold_s, draining=entry.leaving)

    def remove(self, instance: str, now: float) -> None:
        """Remove an endpoint; within the grace period after an outage, at its end."""
        self._unconfirmed.pop(instance, None)
        if instance not in self._views:
            return
        if now >= self._grace_until_s:
            self._drop(instance, "registration gone", now)
        elif instance not in self._lapsed:
            self._lapsed[instance] = self._grace_until_s
            kept_ms = round((self._grace_until_s - now) * 1000)
            _log(
                "endpoint kept after the store's outage",
                self._views[instance].entry,
                kept_ms=kept_ms,
            )

    def replace(self, entries: Iterable[EndpointEntry], now: float) -> None:
        """Replace the registrations with a full list."""
        self.has_full_list = True
        present = set()
        for entry in entries:
            present.add(entry.instance)
            if not self._is_unconfirmed(entry, now):
                self.put(entry)
        self._unconfirmed = {name: e for name, e in self._unconfirmed.items() if name in present}
        for instance in self._views.keys() - present:
            self.remove(instance, now)

    def expire(self, now: float) -> list[str]:
        """Remove the entries whose grace period has ended and return their instances."""
        self._now = now
        expired = [instance for instance, until_s in self._lapsed.items() if until_s <= now]
        for instance in expired:
            self._drop(instance, "not back after the store's outage", now)
        if self._unconfirmed and now >= self._unconfirmed_until_s:
            for entry in list(self._unconfirmed.values()):
                self.put(entry)
        self._removed.expire(now)
        return expired

    def usable(self, service: str) -> list[EndpointView]:
        """Return the endpoints of a service that accept new requests."""
        return [
            view
            for view in self._views.values()
            if view.entry.service == service and not (view.entry.leaving or view.leaving)
        ]

    def registered(self, service: str) -> list[EndpointEntry]:
        """Return the registrations of a service, those of leaving endpoints included."""
        entries = (view.entry for view in self._views.values())
        return [entry for entry in entries if entry.service == service]

    def _is_unconfirmed(self, entry: EndpointEntry, now: float) -> bool:
        """Return whether a registration of a restored store is held back or ignored."""
        if now >= self._unconfirmed_until_s or entry.incarnation not in self._removed:
            return False
        left = self._removed.announced_leaving(entry.incarnation)
        if not left:
            self._unconfirmed[entry.instance] = entry
        _log("registration from an older store copy not accepted", entry, left=left)
        return True

    def _drop(self, instance: str, reason: str, now: float) -> None:
        self._lapsed.pop(instance, None)
        view = self._views.pop(instance)
        view.registered = False
        left = view.leaving or view.entry.leaving
        self._removed.add(
            view.entry.incarnation, now, left=left, paused_until_s=view.paused_until_s
        )
        _log("endpoint out", view.entry, reason=reason)
        self._on_removed(view.entry.incarnation)


def _log(event: str, entry: EndpointEntry, **fields: object) -> None:
    """Log a change; the write rate of the store limits the number of these lines."""
    logger.info(
        event,
        extra={
            "endpoint": entry.instance,
            "service": entry.service,
            "zone": entry.zone,
            RATE_LIMITED_FIELD: True,
            **fields,
        },
    )
