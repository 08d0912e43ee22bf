"""Formats of answers to callers: problem documents and server-sent events."""

from cassiadrum.frontends.problems import PROBLEM_TYPE, Problem, send_problem
from cassiadrum.frontends.server_sent_events import EventSplitter, has_event

__all__ = ["PROBLEM_TYPE", "EventSplitter", "Problem", "has_event", "send_problem"]
