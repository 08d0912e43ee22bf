"""Calls to endpoints: model engines and plain services."""

from cassiadrum.endpoints.endpoint_calls import EndpointCall
from cassiadrum.endpoints.endpoint_loads import EndpointLoad
from cassiadrum.endpoints.endpoints import Endpoint
from cassiadrum.endpoints.engine_endpoints import EngineEndpoint
from cassiadrum.endpoints.errors import EndpointError, EndpointResponseLost, EndpointUnreachable
from cassiadrum.endpoints.plain_endpoints import PlainEndpoint

__all__ = [
    "Endpoint",
    "EndpointCall",
    "EndpointError",
    "EndpointLoad",
    "EndpointResponseLost",
    "EndpointUnreachable",
    "EngineEndpoint",
    "PlainEndpoint",
]
