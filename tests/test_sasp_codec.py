"""The bytes of RFC 4678, worked out by hand from its diagrams, and what is not a message."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as some

from indigodeck.frontends.sasp import codec
from indigodeck.frontends.sasp.codec import Bounds, Entry, MalformedSaspMessageError, Member

# 10.1.2.3, port 80, TCP, label "web": type 3010, length 4+1+2+16+1+3 = 27.
WEB = "3010001b06005000000000000000000000ffff0a01020303776562"
# [2001:db8::5], port 8443, TCP, no label: length 24.
SIX = "301000180620fb20010db800000000000000000000000500"
# load balancer "lb1", group "reading": type 3011, length 4+1+3+1+7 = 16.
READING = "30110010036c62310772656164696e67"


class Kept:
    """Keeps the one call that a message leads to."""

    def __getattr__(self, name):
        return lambda *given: self.__dict__.__setitem__("call", (name, *given))


def read(data, bounds=Bounds()):
    kept = Kept()
    codec.dispatch(bytes.fromhex(data) if isinstance(data, str) else data, kept, bounds)
    return kept.call


def whole(number, body):
    """The 13 bytes before a body: type 2010, length 13, version 1, whole length, id."""
    return f"2010000d01{13 + len(body) // 2:08x}{number:08x}{body}"


NAMED, HOST, HOST6 = (
    (b"lb1", b"reading"),
    Member.at("10.1.2.3", 80, b"web"),
    Member.at("2001:db8::5", 8443),
)
BY_HAND = {
    # set load balancer state: id, health 127, flags push + trust + no change
    whole(7, "1050000a036c62317fe0"): (
        ("set_balancer", 7, b"lb1", 127, True, True, True),
        codec.set_balancer(7, b"lb1", 127, True, True, True),
    ),
    # registration by the load balancer: one group of two members, 4010, length 4+2+16+27+24 = 73
    whole(8, "10100050800001401000490002" + READING + WEB + SIX): (
        ("register", 8, True, [(NAMED, [HOST, HOST6])]),
        codec.register(8, True, [(NAMED, [HOST, HOST6])]),
    ),
    # deregistration by a member, reason 1
    whole(9, "1020003900010001401000310001" + READING + WEB): (
        ("deregister", 9, False, 1, [(NAMED, [HOST])]),
        codec.deregister(9, False, 1, [(NAMED, [HOST])]),
    ),
    whole(10, "103000160001" + READING): (
        ("get_weights", 10, [NAMED]),
        codec.get_weights(10, [NAMED]),
    ),
    # get weights reply: done, 5 s, one group: 4011; an entry is 3012, length 4+27+1+1+2 = 35
    whole(10, "103500420000050001401100390001" + READING + "30120023" + WEB + "0090ffff"): (
        ("weights", 10, 0, 5, [(NAMED, [Entry(HOST, 65535, codec.CONTACT | codec.CONFIDENT)])]),
        codec.weights(10, 0, 5, [(NAMED, [Entry(HOST, 65535, codec.CONTACT | codec.CONFIDENT)])]),
    ),
    # unsolicited: quiesced, weight 0, opaque state 9
    whole(0xFFFFFFFE, "1040003f0001401100390001" + READING + "30120023" + WEB + "09400000"): (
        ("sent_weights", 0xFFFFFFFE, [(NAMED, [Entry(HOST, 0, codec.QUIESCED, 9)])]),
        codec.send_weights(0xFFFFFFFE, [(NAMED, [Entry(HOST, 0, codec.QUIESCED, 9)])]),
    ),
    # set member state by the load balancer: 4012; a state is 3013, length 4+27+1+1 = 33
    whole(11, "1060003e800001401200370001" + READING + "30130021" + WEB + "0280"): (
        ("set_members", 11, True, [(NAMED, [(HOST, 2, True)])]),
        codec.set_members(11, True, [(NAMED, [(HOST, 2, True)])]),
    ),
    whole(8, "1015000500"): (
        ("answered", 8, codec.REGISTERED, 0),
        codec.answer(8, codec.REGISTERED, 0),
    ),
    whole(9, "1025000542"): (
        ("answered", 9, codec.DEREGISTERED, 0x42),
        codec.answer(9, codec.DEREGISTERED, 0x42),
    ),
    whole(7, "1055000511"): (
        ("answered", 7, codec.BALANCER_SET, 0x11),
        codec.answer(7, codec.BALANCER_SET, 0x11),
    ),
    whole(3, "1065000561"): (
        ("answered", 3, codec.MEMBERS_SET, 0x61),
        codec.answer(3, codec.MEMBERS_SET, 0x61),
    ),
}


class Layout(unittest.TestCase):
    def test_bytes_by_hand_are_read_and_written(self):
        for data, (call, written) in BY_HAND.items():
            self.assertEqual(read(data), call)
            self.assertEqual(written.hex(), data)

    def test_a_component_that_does_not_count_its_groups_is_read_as_well(self):
        self.assertEqual(read(whole(10, "103000060001" + READING)), ("get_weights", 10, [NAMED]))

    def test_both_forms_of_an_ipv4_address_name_one_place(self):
        older = Member(6, 80, bytes(12) + bytes([10, 1, 2, 3]))
        self.assertEqual(older.endpoint(), HOST.endpoint())
        self.assertEqual(Member.at("::1", 80).endpoint(), ("::1", 80))

    def test_what_is_no_message_is_said_with_its_code_and_place(self):
        said = []
        for data in (
            whole(1, "99990004"),
            whole(1, "103000160002" + READING),
            whole(1, "1010000580"),
            whole(1, "103000170001" + READING),
            "2010000d02000000110000000110300004",
            "3010000d01000000110000000110300004",
            whole(1, "103000160001" + READING + "00"),
            whole(1, "101000508000014010ffff0002" + READING + WEB + SIX),
            whole(1, "10100050800001401000490009" + READING + WEB + SIX),
        ):
            with self.assertRaises(MalformedSaspMessageError) as caught:
                read(data, Bounds(members=8))
            said.append(f"{caught.exception.return_code:#04x} {caught.exception}")
        self.assertEqual(
            said,
            [
                "0x10 unknown message type 0x9999 (byte 17)",
                "0x10 type of a group needs 2 bytes, 0 are left (byte 35)",
                "0x10 count of groups needs 2 bytes, 0 are left (byte 18)",
                "0x10 a message component states 23 bytes, 22 follow the header (byte 17)",
                "0x10 version 2, only 1 is spoken (byte 4)",
                "0x10 no message header: type 0x3010, length 13 (byte 0)",
                "0x10 a message component states 22 bytes, 23 follow the header (byte 17)",
                "0x10 a group of members states 65535 bytes, 73 are left (byte 24)",
                "0x11 9 members, 8 at most (byte 26)",
            ],
        )

    @settings(max_examples=300, deadline=None)
    @given(some.sampled_from(sorted(BY_HAND)), some.integers(0, 400), some.binary(max_size=6))
    def test_damage_anywhere_is_malformed_or_another_message_never_a_crash(self, data, at, put):
        data = bytearray.fromhex(data)
        data[at % len(data) : at % len(data) + len(put)] = put
        try:
            read(bytes(data), Bounds(members=64))
        except MalformedSaspMessageError as error:
            self.assertLessEqual(error.offset, len(data))

    @settings(max_examples=100, deadline=None)
    @given(
        some.lists(
            some.tuples(
                some.binary(min_size=1, max_size=20),
                some.lists(
                    some.builds(
                        Entry,
                        some.builds(
                            Member,
                            some.integers(0, 255),
                            some.integers(0, 65535),
                            some.binary(min_size=16, max_size=16),
                            some.binary(max_size=255),
                        ),
                        some.integers(0, 65535),
                        some.integers(0, 255),
                        some.integers(0, 255),
                    ),
                    max_size=8,
                ),
            ),
            max_size=4,
        )
    )
    def test_weights_come_back_as_they_were_written(self, groups):
        groups = [((b"lb", name), entries) for name, entries in groups]
        self.assertEqual(read(codec.weights(5, 0, 9, groups)), ("weights", 5, 0, 9, groups))


if __name__ == "__main__":
    unittest.main()
