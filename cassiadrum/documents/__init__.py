"""Service documents, in which a team declares its service and its request classes."""

from cassiadrum.documents.class_consequences import ClassConsequences
from cassiadrum.documents.consequences import (
    changed_consequences,
    class_consequences,
    consequence_lines,
)
from cassiadrum.documents.errors import DocumentError
from cassiadrum.documents.parsers import parse_document
from cassiadrum.documents.request_classes import RequestClass
from cassiadrum.documents.service_documents import ServiceDocument

__all__ = [
    "ClassConsequences",
    "DocumentError",
    "RequestClass",
    "ServiceDocument",
    "changed_consequences",
    "class_consequences",
    "consequence_lines",
    "parse_document",
]
