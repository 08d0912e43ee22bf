"""Service documents: what a team states about its service."""

from cassiadrum.documents.errors import DocumentError
from cassiadrum.documents.parsers import parse_document
from cassiadrum.documents.request_classes import RequestClass
from cassiadrum.documents.service_documents import ServiceDocument

__all__ = ["DocumentError", "RequestClass", "ServiceDocument", "parse_document"]
