"""Tests of links with generated frames and messages."""

import asyncio
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.exceptions import ConnectionClosed

from cassiadrum.links import BadFrame
from cassiadrum.links.codecs import decode_messages, encode_message
from cassiadrum.links.messages import (
    MESSAGE_TYPES,
    Ack,
    Attach,
    Cancel,
    Document,
    End,
    FetchDocument,
    Message,
    Order,
    Ping,
    Report,
    StartRequest,
    Versions,
)
from cassiadrum.tests.fuzz.conftest import FuzzSite
from cassiadrum.tests.harness import RawLink

CBOR_VALUES: st.SearchStrategy[Any] = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=10,
)
# An order with an invented fencing token changes nothing at a plain service, and a peer may send a
# document of a higher version; neither may stop the process.
PEER_MESSAGE_TYPES = (
    Ack,
    Attach,
    Cancel,
    End,
    FetchDocument,
    Order,
    Ping,
    Report,
    StartRequest,
    Versions,
)
HOSTILE_FRAMES = {
    "deep arrays": b"\x81" * 100_000,
    "deep maps": b"\xa1\x00" * 50_000,
    "huge array": b"\x9b" + b"\xff" * 8,
    "huge bytes": b"\x5b\x7f" + b"\xff" * 7,
    "huge text": b"\x7b\x00\x00\x00\xff" + b"\xff" * 4,
    "huge tag": b"\xdb" + b"\xff" * 8 + b"\x00",
    "endless array": b"\x9f\x00",
    "shared reference": b"\xd8\x1d\x00",
    "self reference": b"\xd8\x1c\x81\xd8\x1d\x00",
    "big number": b"\x82\x01\xc2\x5a\x00\x01\x00\x00" + b"\xff" * 65536,
    "regular expression": b"\x82\x02\xd8\x23\x68((a+)+)+",
    "cut": encode_message(Versions({"a": 1}))[:-1],
    "empty": b"",
}


class TestFrames:
    """Guards against a frame that stops a process or is decoded as a message of another type.

    A peer with a fault or of another release can send any bytes. CBOR allows deep nesting, huge
    declared lengths, references to shared values and tags that build objects, all of which have to
    be rejected with BadFrame. Fields that a later release appends are ignored.
    """

    @given(st.binary(max_size=200))
    @settings(max_examples=500)
    def test_any_bytes_are_decoded_or_rejected(self, frame: bytes) -> None:
        self.decode_if_valid(frame)

    @given(st.integers(-2, len(MESSAGE_TYPES) + 3), st.lists(CBOR_VALUES, max_size=20))
    @settings(max_examples=500)
    def test_any_fields_decode_to_the_type_of_their_code(
        self, code: int, fields: list[Any]
    ) -> None:
        for msg in self.decode_if_valid(cbor2.dumps([code, *fields])):
            assert msg is None or MESSAGE_TYPES[code] is type(msg)

    @pytest.mark.parametrize("name", HOSTILE_FRAMES)
    def test_hostile_frame_is_rejected(self, name: str) -> None:
        with pytest.raises(BadFrame):
            decode_messages(HOSTILE_FRAMES[name])

    @given(st.lists(CBOR_VALUES, max_size=3))
    def test_unknown_fields_at_the_end_are_ignored(self, extra_fields: list[Any]) -> None:
        msg = Versions({"a": 1})
        assert decode_messages(
            cbor2.dumps([*cbor2.loads(encode_message(msg)), *extra_fields])
        ) == [msg]

    @staticmethod
    def decode_if_valid(frame: bytes) -> list[Message | None]:
        try:
            return decode_messages(frame)
        except BadFrame:
            return []


class TestSidecarLinks:
    """Guards against a peer whose messages stop a sidecar or disturb the requests of other peers.

    Messages may name unknown requests, arrive in any order or carry an invalid document. The
    sidecar may close the connection of that peer only, and keeps the document in force.
    """

    @given(
        st.lists(
            st.one_of(*(st.from_type(message_type) for message_type in PEER_MESSAGE_TYPES)),
            min_size=1,
            max_size=6,
        )
    )
    @settings(max_examples=80)
    def test_any_messages_leave_the_services_available(
        self, fuzz_site: FuzzSite, messages: list[Message]
    ) -> None:
        fuzz_site.run(self.send_to_sidecars(fuzz_site, messages))
        fuzz_site.assert_services_respond()

    @pytest.mark.parametrize("text", ["", "[service]", "x = " + "[" * 5000])
    def test_invalid_document_is_not_applied(self, fuzz_site: FuzzSite, text: str) -> None:
        document = Document("sprachdienst", 2**40, text, False)
        fuzz_site.run(self.send_to_sidecars(fuzz_site, [document]), errors_expected=True)
        assert fuzz_site.site.endpoints[0].sidecar.status()["versions"]["sprachdienst"] == 1
        fuzz_site.assert_services_respond()

    @pytest.mark.parametrize("name", HOSTILE_FRAMES)
    def test_hostile_frame_closes_only_its_connection(
        self, fuzz_site: FuzzSite, name: str
    ) -> None:
        async def send() -> None:
            link = await RawLink.open(fuzz_site.site.endpoints[0].sidecar.addresses["link"])
            await link.send_frame(HOSTILE_FRAMES[name])
            with pytest.raises(ConnectionClosed):
                await link.receive(StartRequest)

        fuzz_site.run(send())
        fuzz_site.assert_services_respond()

    @staticmethod
    async def send_to_sidecars(fuzz_site: FuzzSite, messages: list[Message]) -> None:
        """Send the messages to a sidecar of each kind and give it time to handle them."""
        for endpoint in (fuzz_site.site.endpoints[0], fuzz_site.site.endpoints[-1]):
            link = await RawLink.open(endpoint.sidecar.addresses["link"])
            try:
                for msg in messages:
                    await link.send(msg)
                await asyncio.sleep(0.01)
            except ConnectionClosed:
                pass
            finally:
                await link.close()
