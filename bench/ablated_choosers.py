"""Choosers without one of their rules."""

from cassiadrum.decisions import EndpointReport, LeastCostChooser

__all__ = ["NonEjectingChooser", "UncorrectedReportChooser"]


class NonEjectingChooser(LeastCostChooser):
    """Keep every endpoint, however slow; its measured slowness still counts as cost."""

    def _check_outliers(self, now: float) -> None:
        self._detector._update_slowdowns(self._states)


class UncorrectedReportChooser(LeastCostChooser):
    """Take every report as if it had just been made."""

    def report(self, rep: EndpointReport, now: float) -> None:
        super().report(rep, rep.reported_s)
