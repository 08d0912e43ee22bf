"""Callers that send a seeded load and check every answer."""

from cassiadrum.loads.class_results import ClassResult
from cassiadrum.loads.load_plans import LoadPlan, PlannedRequest
from cassiadrum.loads.load_senders import LoadSender

__all__ = ["ClassResult", "LoadPlan", "LoadSender", "PlannedRequest"]
