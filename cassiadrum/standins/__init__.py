"""Runnable stand-ins for external systems, with injectable faults, for tests and the demo."""

from cassiadrum.standins.answer_texts import answer_text, answer_tokens
from cassiadrum.standins.answers import Answer
from cassiadrum.standins.engines import EngineStandIn, extract_prompt
from cassiadrum.standins.faults import Faults
from cassiadrum.standins.instance_lists import InstanceListService
from cassiadrum.standins.object_services import ObjectService
from cassiadrum.standins.plain_services import PlainServiceStandIn
from cassiadrum.standins.run_records import RunRecord
from cassiadrum.standins.standins import StandIn
from cassiadrum.standins.table_rows import TableRows
from cassiadrum.standins.table_services import TableService
from cassiadrum.standins.weight_services import WeightService

__all__ = [
    "Answer",
    "EngineStandIn",
    "Faults",
    "InstanceListService",
    "ObjectService",
    "PlainServiceStandIn",
    "RunRecord",
    "StandIn",
    "TableRows",
    "TableService",
    "WeightService",
    "answer_text",
    "answer_tokens",
    "extract_prompt",
]
