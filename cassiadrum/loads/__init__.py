"""Load tool that sends a seeded load to a site and checks every answer."""

from cassiadrum.loads.class_results import ClassResult
from cassiadrum.loads.errors import LoadError, MixError
from cassiadrum.loads.load_mixes import Burst, ClassRate, LoadMix, load_mix
from cassiadrum.loads.load_options import LoadOptions
from cassiadrum.loads.load_plans import LoadPlan, PlannedRequest
from cassiadrum.loads.load_reports import LoadReport
from cassiadrum.loads.load_runs import run_load, send_load
from cassiadrum.loads.load_senders import LoadSender
from cassiadrum.loads.report_pages import render_page

__all__ = [
    "Burst",
    "ClassRate",
    "ClassResult",
    "LoadError",
    "LoadMix",
    "LoadOptions",
    "LoadPlan",
    "LoadReport",
    "LoadSender",
    "MixError",
    "PlannedRequest",
    "load_mix",
    "render_page",
    "run_load",
    "send_load",
]
