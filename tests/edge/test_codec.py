"""Tests of decoding untrusted messages: every field is validated, and invalid ones are rejected."""

import contextlib
import unittest

from harness import SECOND
from hypothesis import given
from hypothesis import strategies as st

from edge.stand_ins import ACK, CODEC, DEMAND, OUTCOMES, PROXY_JOINED, endpoint_list, list_entry
from indigodeck.edge.json_fields import pack, read_object
from indigodeck.edge.relay_protocol import read_call_result, read_event
from indigodeck.errors import MalformedMessageError

ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.just(float("nan")),
    st.just(float("inf")),
    st.just(-1),
    st.just(10**40),
    st.just(0.5),
    st.text(max_size=3),
    st.lists(st.integers(), max_size=2),
    st.just({}),
)


class MessageReadingTest(unittest.TestCase):
    """Decodes messages of collectors, the relay and discovery."""

    def test_valid_messages_are_read(self):
        """Each message is decoded to its named tuple, with times in microseconds."""
        self.assertEqual(
            CODEC.read_outcomes(OUTCOMES),
            (0, "s-1", 212, 3, 41_700, SECOND, {"in_flight": 7.0, "cores_busy": 0.61}),
        )
        self.assertEqual(CODEC.read_demand(DEMAND), (17, 0, 19, 0, SECOND))
        self.assertEqual(CODEC.read_proxy_joined(PROXY_JOINED), (17, 0, 21.5, True))
        self.assertEqual(CODEC.read_ack(ACK), (17, 905, 310_400))
        self.assertEqual(CODEC.read_introduction({"zone": "b"}), 1)
        lost = dict(OUTCOMES, failed=212, mean_ms=None, load=None)
        self.assertEqual(CODEC.read_outcomes(lost)[2:5], (212, 212, 0))

    @given(
        st.sampled_from(
            [
                (CODEC.read_outcomes, OUTCOMES),
                (CODEC.read_demand, DEMAND),
                (CODEC.read_proxy_joined, PROXY_JOINED),
                (CODEC.read_ack, ACK),
                (CODEC.read_endpoint, list_entry("s-1")),
            ]
        ),
        st.data(),
    )
    def test_a_wrong_field_is_rejected_or_harmless(self, kind, data):
        """With any value in one field, a message is rejected or all its values are in range."""
        read, valid = kind
        name = data.draw(st.sampled_from(sorted(valid)))
        invalid = dict(valid)
        if data.draw(st.booleans()):
            del invalid[name]
        else:
            invalid[name] = data.draw(ODD_VALUES)
        try:
            fields = read(invalid)
        except MalformedMessageError:
            return
        for value in fields:  # the assigner relies on these ranges
            self.assertFalse(isinstance(value, float) and not 0 <= value <= 1e9, (name, invalid))
            self.assertFalse(
                isinstance(value, int) and not isinstance(value, bool) and not 0 <= value <= 1e17,
                (name, invalid),
            )

    def test_outcomes_out_of_range_are_rejected(self):
        """Booleans are not numbers, and failures must not exceed attempts."""
        for field, value in (
            ("tries", True),
            ("failed", 213),
            ("tries", 2.5),
            ("mean_ms", 1e9),
            ("span_ms", 0),
            ("load", {"inflight": "7"}),
            ("load", []),
            ("zone", "c"),
            ("server", ""),
        ):
            with self.assertRaises(MalformedMessageError, msg=(field, value)):
                CODEC.read_outcomes(dict(OUTCOMES, **{field: value}))

    def test_data_that_is_not_a_json_object_is_rejected(self):
        """Deep nesting, NaN and other protocols are rejected."""
        for data in (
            b"",
            b"GET / HTTP/1.1\r\n",
            b"\xff\xfe\n",
            b"[]",
            b"{" * 100_000,
            b"[" * 100_000,
            b'{"a":NaN}',
            b'{"a":Infinity}',
            b'{"a":' + b"9" * 5000 + b"}",
            b"null",
            b'{"a":1}{"b":2}',
        ):
            with self.assertRaises(MalformedMessageError, msg=data[:20]):
                read_object(data)

    @given(st.binary(max_size=60))
    def test_any_bytes_are_read_or_rejected(self, data):
        """Arbitrary bytes raise no other exception than `MalformedMessageError`."""
        for read in (
            read_object,
            read_event,
            lambda data: read_call_result(data, 1, 3),
        ):
            with contextlib.suppress(MalformedMessageError):
                read(data)

    def test_only_invalid_list_entries_are_left_out(self):
        """Valid entries are decoded; the names of invalid entries are kept if they have one."""
        answer = endpoint_list(
            list_entry("s-1"),
            dict(list_entry("s-2"), share=-1),
            "no entry",
            dict(list_entry("s-3"), site="nowhere"),
        )
        self.assertEqual([server.name for server in answer.endpoints], ["s-1"])
        self.assertEqual(answer.unusable_names, {"s-2", "s-3", ""})
        for invalid in (
            {},
            {"seq": 1, "whole": True},
            {"seq": -1, "whole": True, "hosts": []},
            {"seq": 1, "whole": 1, "hosts": []},
        ):
            with self.assertRaises(MalformedMessageError):
                CODEC.read_endpoint_list(invalid)

    def test_call_results_are_read_or_rejected(self):
        """Results and errors of the call in flight are accepted, and anything else is rejected."""

        def answer(**fields):
            return read_call_result(pack(dict(jsonrpc="2.0", **fields)), 8, 3)

        self.assertEqual(answer(id=8, result={"accepted": 2}), (2, None))
        self.assertEqual(answer(id=8, error="throttled"), (0, "throttled"))
        self.assertEqual(answer(id=8, error={"code": 1, "message": "invalid"}), (0, "invalid"))
        self.assertEqual(answer(id=None, error={"code": 1, "message": "invalid"}), (0, "invalid"))
        for invalid in (
            dict(id=9, result={"accepted": 2}),
            dict(id=8, result={"accepted": 4}),
            dict(id=8, result={"accepted": -1}),
            dict(id=8, result={"accepted": True}),
            dict(id=8, result=2),
            dict(id=8),
            dict(id=8, error={}),
            dict(id=True),
            dict(id=None, result={"accepted": 2}),
            dict(error="invalid"),
            dict(id=9, error="invalid"),
        ):
            with self.assertRaises(MalformedMessageError, msg=invalid):
                answer(**invalid)
