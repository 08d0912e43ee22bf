"""An entry instance that reaches endpoints directly over persistent HTTP/1.1 connections."""

from cassiadrum.gateways.access import Access, Customer, KeyedAccess, OpenAccess
from cassiadrum.gateways.answer_heads import AnswerHead, LoadSample
from cassiadrum.gateways.call_protocols import CallProtocol
from cassiadrum.gateways.calls import Call, PromptPart
from cassiadrum.gateways.catalogs import (
    CallKind,
    Catalog,
    RequestLimits,
    Route,
    ServiceSettings,
    Share,
)
from cassiadrum.gateways.endpoint_entries import EndpointEntry, Incarnation
from cassiadrum.gateways.fleets import Fleet, FleetMember, FleetShares, SingleGateway
from cassiadrum.gateways.gateway_settings import GatewaySettings
from cassiadrum.gateways.gateways import Gateway
from cassiadrum.gateways.limit_boards import LimitBoard, LimitNews
from cassiadrum.gateways.request_contexts import StreamOrigin
from cassiadrum.gateways.request_limits import LimitNotice
from cassiadrum.gateways.stream_origins import FoundOrigin, OriginSource, OriginStore
from cassiadrum.gateways.unrecorded_streams import UnrecordedStreams, next_unrecorded

__all__ = [
    "Access",
    "AnswerHead",
    "Call",
    "CallKind",
    "CallProtocol",
    "Catalog",
    "Customer",
    "EndpointEntry",
    "Fleet",
    "FleetMember",
    "FleetShares",
    "FoundOrigin",
    "Gateway",
    "GatewaySettings",
    "Incarnation",
    "KeyedAccess",
    "LimitBoard",
    "LimitNews",
    "LimitNotice",
    "LoadSample",
    "OpenAccess",
    "OriginSource",
    "OriginStore",
    "PromptPart",
    "RequestLimits",
    "Route",
    "ServiceSettings",
    "Share",
    "SingleGateway",
    "StreamOrigin",
    "UnrecordedStreams",
    "next_unrecorded",
]
