"""Endpoint choosers of the ablations, each without one rule of the product's chooser."""

from cassiadrum.decisions import EndpointReport, LeastCostChooser

__all__ = ["NonEjectingChooser", "UncorrectedReportChooser"]


class NonEjectingChooser(LeastCostChooser):
    """Never ejects an endpoint; its measured slowdown still adds to its cost."""

    def _check_outliers(self, now: float) -> None:
        self._detector._update_slowdowns(self._states)


class UncorrectedReportChooser(LeastCostChooser):
    """Treats every load report as current, without a correction for its age."""

    def report(self, rep: EndpointReport, now: float) -> None:
        super().report(rep, rep.reported_s)
