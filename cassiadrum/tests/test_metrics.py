"""Tests of the metrics."""

import subprocess
import sys

from cassiadrum.metrics import DEFINITIONS, CustomerRanking, RoleMetrics, make_registry
from cassiadrum.metrics.metric_values import SERIES_MAX


def make_metrics(now: float = 0.0) -> RoleMetrics:
    return RoleMetrics(lambda: now, make_registry())


def sample_lines(metrics: RoleMetrics) -> list[str]:
    text = metrics.render().decode()
    return [line for line in text.splitlines() if not line.startswith("#")]


class TestRoleMetrics:
    """Guards against measurements that are lost, mislabelled or unbounded in number.

    Label values come from requests: they need escaping, and callers can use any number of service
    names.
    """

    def test_every_metric_is_rendered(self) -> None:
        metrics = make_metrics()
        metrics.count_request("s", "c")
        metrics.count_refusal("s", "overloaded")
        metrics.count_attainment("s", "c", met=False)
        metrics.count_delivered_tokens("s", "c", "customer", 7)
        metrics.count_wasted_tokens("s", "cancelled", 3)
        metrics.count_retry("s", "c")
        metrics.count_hedge("s", "c")
        metrics.count_claim("s", "made")
        metrics.count_control_bytes("in", 10)
        metrics.count_store_call("table", "unknown")
        metrics.count_unanswered_connection("handler_failed")
        metrics.set_leases_held(1)
        metrics.set_configuration_version("s", 4)
        metrics.set_connections("sidecar", 9)
        metrics.set_queue_length("s", 2)
        metrics.set_loop_delay(0.2, 0.1)
        for observe in (
            metrics.observe_queue_wait,
            metrics.observe_first_token,
            metrics.observe_inter_token,
        ):
            observe("s", "c", 0.5)
        rendered = sample_lines(metrics)
        names = {line.split("{")[0].split(" ")[0] for line in rendered}
        assert all(name in names or f"{name}_bucket" in names for name in DEFINITIONS)
        assert 'cassiadrum_attainment_total{class="c",result="missed",service="s"} 1' in rendered
        assert 'cassiadrum_configuration_version{service="s"} 4' in rendered

    def test_histogram_is_cumulative_and_bounds_are_inclusive(self) -> None:
        metrics = make_metrics()
        metrics.observe_first_token("s", "c", 0.97)
        metrics.observe_first_token("s", "c", 1000.0)
        rendered = [line for line in sample_lines(metrics) if "first_token" in line]
        name = "cassiadrum_first_token_seconds"
        assert f'{name}_bucket{{class="c",le="0.5",service="s"}} 0.0' in rendered
        assert f'{name}_bucket{{class="c",le="0.97",service="s"}} 1.0' in rendered
        assert f'{name}_bucket{{class="c",le="+Inf",service="s"}} 2.0' in rendered
        assert f'{name}_count{{class="c",service="s"}} 2.0' in rendered
        assert f'{name}_sum{{class="c",service="s"}} 1000.97' in rendered

    def test_rendering_twice_counts_once(self) -> None:
        metrics = make_metrics()
        metrics.count_request("s", "c")
        assert sample_lines(metrics) == sample_lines(metrics)

    def test_label_values_are_escaped(self) -> None:
        metrics = make_metrics()
        metrics.set_queue_length('a"b\\c\nd', 1)
        assert 'cassiadrum_queue_length{service="a\\"b\\\\c\\nd"} 1' in sample_lines(metrics)

    def test_unknown_services_do_not_grow_the_output(self) -> None:
        metrics = make_metrics()
        for index in range(SERIES_MAX + 5):
            metrics.count_request(f"guess-{index}", "")
        rendered = [line for line in sample_lines(metrics) if "requests_total" in line]
        assert len(rendered) == SERIES_MAX + 1
        assert 'cassiadrum_requests_total{class="other",service="other"} 5' in rendered

    def test_library_is_not_loaded_without_a_registry(self) -> None:
        code = (
            "import sys, time; from cassiadrum.metrics import RoleMetrics\n"
            "m = RoleMetrics(time.monotonic); m.count_request('s', 'c')\n"
            "assert m.render() == b''\n"
            "sys.exit('aioprometheus' in sys.modules)"
        )
        assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


class TestCustomerRanking:
    """Guards against customer names in labels and against a series for each customer.

    Labels are ranks in the last full window; the other customers are summed.
    """

    def test_top_of_the_last_full_window_and_the_others(self) -> None:
        ranking = CustomerRanking(window_s=10, top=2)
        for customer, tokens in (("a", 1), ("b", 5), ("c", 3), ("d", 1)):
            ranking.add(customer, tokens, 5.0)
        assert ranking.last_window(9.9) == ([], 0)
        assert ranking.last_window(10.0) == ([("b", 5), ("c", 3)], 2)
        assert ranking.last_window(30.0) == ([], 0)

    def test_labels_are_ranks(self) -> None:
        now = 0.0
        metrics = RoleMetrics(lambda: now, make_registry())
        for index in range(50):
            metrics.count_delivered_tokens("s", "c", f"parish-{index}", index + 1)
        now = 60.0
        rendered = [line for line in sample_lines(metrics) if "customer_tokens" in line]
        assert len(rendered) == 21
        assert 'cassiadrum_customer_tokens{rank="1"} 50' in rendered
        assert f'cassiadrum_customer_tokens{{rank="other"}} {sum(range(1, 31))}' in rendered
        assert not any("parish" in line for line in sample_lines(metrics))
        assert metrics.top_customers()[0] == ("parish-49", 50)
