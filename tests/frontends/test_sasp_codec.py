"""Tests of the SASP codec on messages encoded by hand from RFC 4678, and on malformed ones."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from indigodeck.frontends.sasp import codec
from indigodeck.frontends.sasp.codec import Bounds, Entry, MalformedSaspMessageError, Member

# 10.1.2.3, port 80, TCP, label "web": type 3010, length 4+1+2+16+1+3 = 27.
WEB = "3010001b06005000000000000000000000ffff0a01020303776562"
# [2001:db8::5], port 8443, TCP, no label: length 24.
SIX = "301000180620fb20010db800000000000000000000000500"
# load balancer "lb1", group "reading": type 3011, length 4+1+3+1+7 = 16.
READING = "30110010036c62310772656164696e67"


class RecordingHandler:
    """Records the one call that `dispatch` makes for a message."""

    def __getattr__(self, name):
        """Return a method that records its own name and arguments."""
        return lambda *given: self.__dict__.__setitem__("call", (name, *given))


def read(data, bounds=None):
    """Return the handler method and the arguments for a message, in bytes or hexadecimal digits."""
    handler = RecordingHandler()
    codec.dispatch(bytes.fromhex(data) if isinstance(data, str) else data, handler, bounds)
    return handler.call


def with_header(number, body):
    """Return a body with its header of 13 bytes: type 2010, length 13, version 1, length, id."""
    return f"2010000d01{13 + len(body) // 2:08x}{number:08x}{body}"


GROUP_NAME = (b"lb1", b"reading")
MEMBER = Member.at("10.1.2.3", 80, b"web")
IPV6_MEMBER = Member.at("2001:db8::5", 8443)
MESSAGES = {
    # set load balancer state: id, health 127, flags push + trust + no change
    with_header(7, "1050000a036c62317fe0"): (
        ("set_balancer", 7, b"lb1", 127, True, True, True),
        codec.set_balancer(7, b"lb1", 127, True, True, True),
    ),
    # registration by the load balancer: one group of two members, 4010, length 4+2+16+27+24 = 73
    with_header(8, "10100050800001401000490002" + READING + WEB + SIX): (
        ("register", 8, True, [(GROUP_NAME, [MEMBER, IPV6_MEMBER])]),
        codec.register(8, True, [(GROUP_NAME, [MEMBER, IPV6_MEMBER])]),
    ),
    # deregistration by a member, reason 1
    with_header(9, "1020003900010001401000310001" + READING + WEB): (
        ("deregister", 9, False, 1, [(GROUP_NAME, [MEMBER])]),
        codec.deregister(9, False, 1, [(GROUP_NAME, [MEMBER])]),
    ),
    with_header(10, "103000160001" + READING): (
        ("get_weights", 10, [GROUP_NAME]),
        codec.get_weights(10, [GROUP_NAME]),
    ),
    # get weights reply: done, 5 s, one group: 4011; an entry is 3012, length 4+27+1+1+2 = 35
    with_header(10, "103500420000050001401100390001" + READING + "30120023" + WEB + "0090ffff"): (
        (
            "weights",
            10,
            0,
            5,
            [(GROUP_NAME, [Entry(MEMBER, 65535, codec.CONTACT_SUCCESS | codec.CONFIDENT)])],
        ),
        codec.weights(
            10,
            0,
            5,
            [(GROUP_NAME, [Entry(MEMBER, 65535, codec.CONTACT_SUCCESS | codec.CONFIDENT)])],
        ),
    ),
    # unsolicited: quiesced, weight 0, opaque state 9
    with_header(0xFFFFFFFE, "1040003f0001401100390001" + READING + "30120023" + WEB + "09400000"): (
        ("sent_weights", 0xFFFFFFFE, [(GROUP_NAME, [Entry(MEMBER, 0, codec.QUIESCED, 9)])]),
        codec.send_weights(0xFFFFFFFE, [(GROUP_NAME, [Entry(MEMBER, 0, codec.QUIESCED, 9)])]),
    ),
    # set member state by the load balancer: 4012; a state is 3013, length 4+27+1+1 = 33
    with_header(11, "1060003e800001401200370001" + READING + "30130021" + WEB + "0280"): (
        ("set_members", 11, True, [(GROUP_NAME, [(MEMBER, 2, True)])]),
        codec.set_members(11, True, [(GROUP_NAME, [(MEMBER, 2, True)])]),
    ),
    with_header(8, "1015000500"): (
        ("answered", 8, codec.REGISTERED, 0),
        codec.answer(8, codec.REGISTERED, 0),
    ),
    with_header(9, "1025000542"): (
        ("answered", 9, codec.DEREGISTERED, 0x42),
        codec.answer(9, codec.DEREGISTERED, 0x42),
    ),
    with_header(7, "1055000511"): (
        ("answered", 7, codec.BALANCER_SET, 0x11),
        codec.answer(7, codec.BALANCER_SET, 0x11),
    ),
    with_header(3, "1065000561"): (
        ("answered", 3, codec.MEMBERS_SET, 0x61),
        codec.answer(3, codec.MEMBERS_SET, 0x61),
    ),
}


class MessageLayoutTest(unittest.TestCase):
    """Decoding and encoding of messages, and the rejection of malformed ones."""

    def test_messages_encoded_by_hand_are_decoded_and_encoded_alike(self):
        """Each message decodes to the expected call, and encodes to the same bytes."""
        for data, (call, encoded) in MESSAGES.items():
            self.assertEqual(read(data), call)
            self.assertEqual(encoded.hex(), data)

    def test_a_message_component_may_state_its_length_without_its_groups(self):
        """The length up to the groups is accepted as well as the length with them."""
        self.assertEqual(
            read(with_header(10, "103000060001" + READING)), ("get_weights", 10, [GROUP_NAME])
        )

    def test_both_forms_of_an_ipv4_address_name_one_endpoint(self):
        """The IPv4-mapped and the older IPv4-compatible form give the same endpoint."""
        compatible = Member(6, 80, bytes(12) + bytes([10, 1, 2, 3]))
        self.assertEqual(compatible.endpoint(), MEMBER.endpoint())
        self.assertEqual(Member.at("::1", 80).endpoint(), ("::1", 80))

    def test_a_malformed_message_is_rejected_with_return_code_and_offset(self):
        """The error states the problem and its position in the message."""
        rejections = []
        for data in (
            with_header(1, "99990004"),
            with_header(1, "103000160002" + READING),
            with_header(1, "1010000580"),
            with_header(1, "103000170001" + READING),
            "2010000d02000000110000000110300004",
            "3010000d01000000110000000110300004",
            with_header(1, "103000160001" + READING + "00"),
            with_header(1, "101000508000014010ffff0002" + READING + WEB + SIX),
            with_header(1, "10100050800001401000490009" + READING + WEB + SIX),
        ):
            with self.assertRaises(MalformedSaspMessageError) as caught:
                read(data, Bounds(members=8))
            rejections.append(f"{caught.exception.return_code:#04x} {caught.exception}")
        self.assertEqual(
            rejections,
            [
                "0x10 unknown message type 0x9999 (byte 17)",
                "0x10 type of a group needs 2 bytes, 0 are left (byte 35)",
                "0x10 count of groups needs 2 bytes, 0 are left (byte 18)",
                "0x10 message component states 23 bytes, but 22 follow the header (byte 17)",
                "0x10 version 2, only 1 is supported (byte 4)",
                "0x10 no message header: type 0x3010, length 13 (byte 0)",
                "0x10 message component states 22 bytes, but 23 follow the header (byte 17)",
                "0x10 a group of members states 65535 bytes, but 73 are left (byte 24)",
                "0x11 9 members, 8 at most (byte 26)",
            ],
        )

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(MESSAGES)), st.integers(0, 400), st.binary(max_size=6))
    def test_damaged_messages_raise_no_error_but_that_of_a_malformed_message(
        self, data, offset, replacement
    ):
        """A damaged message is malformed, or is by chance another valid message."""
        data = bytearray.fromhex(data)
        data[offset % len(data) : offset % len(data) + len(replacement)] = replacement
        try:
            read(bytes(data), Bounds(members=64))
        except MalformedSaspMessageError as error:
            self.assertLessEqual(error.offset, len(data))

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.binary(min_size=1, max_size=20),
                st.lists(
                    st.builds(
                        Entry,
                        st.builds(
                            Member,
                            st.integers(0, 255),
                            st.integers(0, 65535),
                            st.binary(min_size=16, max_size=16),
                            st.binary(max_size=255),
                        ),
                        st.integers(0, 65535),
                        st.integers(0, 255),
                        st.integers(0, 255),
                    ),
                    max_size=8,
                ),
            ),
            max_size=4,
        )
    )
    def test_decoding_encoded_weights_gives_the_same_groups(self, groups):
        """Any groups of weight entries survive encoding and decoding."""
        groups = [((b"lb", name), entries) for name, entries in groups]
        self.assertEqual(read(codec.weights(5, 0, 9, groups)), ("weights", 5, 0, 9, groups))


if __name__ == "__main__":
    unittest.main()
