"""Small runnable stand-ins for the platform's services, with faults for tests."""

from cassiadrum.standins.answers import Answer
from cassiadrum.standins.faults import Faults
from cassiadrum.standins.instance_lists import InstanceListService
from cassiadrum.standins.object_services import ObjectService
from cassiadrum.standins.standins import StandIn
from cassiadrum.standins.table_rows import TableRows
from cassiadrum.standins.table_services import TableService
from cassiadrum.standins.weight_services import WeightService

__all__ = [
    "Answer",
    "Faults",
    "InstanceListService",
    "ObjectService",
    "StandIn",
    "TableRows",
    "TableService",
    "WeightService",
]
