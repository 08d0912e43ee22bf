"""Links between entry instances and sidecars: CBOR messages over WebSocket connections."""

from cassiadrum.links.codecs import (
    decode_message,
    decode_messages,
    encode_message,
    make_frames,
)
from cassiadrum.links.data_merges import split_data
from cassiadrum.links.errors import BadCertificate, BadFrame, LinkError, PositionUnavailable
from cassiadrum.links.link_dialers import LinkDialer
from cassiadrum.links.link_servers import LinkServer
from cassiadrum.links.links import Link
from cassiadrum.links.stream_buffers import StreamBuffer
from cassiadrum.links.tls_contexts import TlsContexts

__all__ = [
    "BadCertificate",
    "BadFrame",
    "Link",
    "LinkDialer",
    "LinkError",
    "LinkServer",
    "PositionUnavailable",
    "StreamBuffer",
    "TlsContexts",
    "decode_message",
    "decode_messages",
    "encode_message",
    "make_frames",
    "split_data",
]
