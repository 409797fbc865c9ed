"""Tests of the outbox: after lost calls, the relay has the same state as without losses."""

import json
import unittest
from enum import Enum

from harness import SECOND
from hypothesis import given, settings
from hypothesis import strategies as st

from edge.stand_ins import EventRecorder, RelayState
from indigodeck.assignment.interface import RetryPolicy
from indigodeck.edge.codec import order_fields
from indigodeck.edge.json_fields import pack
from indigodeck.edge.messages import (
    AssignTable,
    ClearTable,
    RequestAck,
    SetAdmission,
    SetEjected,
    SetWeight,
    order_key,
)
from indigodeck.edge.outbox import Outbox
from indigodeck.edge.relay_protocol import commit_call
from indigodeck.errors import MalformedMessageError

ORDERS = st.one_of(
    st.builds(
        SetWeight,
        st.integers(0, 2),
        st.sampled_from(["s-1", "s-2", "s-3"]),
        st.sampled_from([0.0, 1.0, 2.5]),
    ),
    st.builds(ClearTable, st.integers(0, 2)),
    st.builds(AssignTable, st.integers(0, 3), st.integers(0, 2), st.just(("read",))),
    st.builds(SetEjected, st.sampled_from(["s-1", "s-2", "s-3"]), st.booleans()),
    st.builds(
        SetAdmission,
        st.integers(0, 2),
        st.just(("read",)),
        st.sampled_from([0.2, 1.0]),
        st.just(RetryPolicy.ONCE_IF_NOT_EXECUTED),
    ),
    st.builds(RequestAck, st.integers(1, 9), st.just(False)),
)


class CallOutcome(Enum):
    """What happens to a call."""

    ACCEPTED = "accepted"
    RESPONSE_LOST = "applied, and the response is lost"
    LOST = "lost before it was applied"
    MALFORMED_RESPONSE = "applied, with a response that can't be parsed"
    THROTTLED = "rejected as throttled"
    NOT_SENT = "not sent yet"


class OutboxTest(unittest.TestCase):
    """Calls that are lost, rejected, partly accepted or too long."""

    def setUp(self):
        """Create an outbox whose clock the test sets."""
        self.clock = 0
        self.log = EventRecorder()
        self.outbox = Outbox(lambda: self.clock, self.log)

    @settings(max_examples=400, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.lists(ORDERS, max_size=6),
                st.sampled_from(CallOutcome),
            ),
            max_size=25,
        )
    )
    def test_lost_calls_do_not_change_the_final_state(self, steps):
        """After any losses the relay has the same state as one without losses."""
        self.clock = 0
        outbox = Outbox(lambda: self.clock, self.log)
        lossy = RelayState()
        lossless = RelayState()
        for number, (orders, outcome) in enumerate(steps):
            outbox.add(orders)
            if orders:
                lossless.apply(commit_call(number, orders))
            self.clock += SECOND
            if outcome != CallOutcome.NOT_SENT and outbox.time_until_call() == 0:
                self.send(outbox, lossy, outcome)
        for _ in range(50):
            self.clock += SECOND
            if outbox.time_until_call() == 0:
                self.send(outbox, lossy, CallOutcome.ACCEPTED)
        self.assertIsNone(outbox.time_until_call())
        self.assertFalse(outbox.is_backlogged())
        self.assertEqual(lossy.snapshot(), lossless.snapshot())

    def send(self, outbox, relay_state, outcome):
        """Send the next call, with the given outcome."""
        line = outbox.next_call()
        # No call may overtake one whose result is unknown.
        self.assertIsNone(outbox.time_until_call())
        if outcome == CallOutcome.THROTTLED:
            outbox.on_response(
                pack(
                    {"jsonrpc": "2.0", "id": outbox.call_number, "error": {"message": "throttled"}}
                )
            )
            return
        answer = relay_state.apply(line) if outcome != CallOutcome.LOST else b""
        if outcome == CallOutcome.ACCEPTED:
            outbox.on_response(answer)
        elif outcome == CallOutcome.MALFORMED_RESPONSE:
            with self.assertRaises(MalformedMessageError):
                outbox.on_response(answer[:-3])
        else:
            outbox.on_call_lost()

    def test_orders_after_a_rejected_one_are_sent_again(self):
        """The relay stops at an order that it rejects; the orders after it are sent again."""
        relay_state = RelayState()
        self.outbox.add(
            [
                SetWeight(0, "s-1", 1.0),
                SetWeight(0, "s-9", 1.0),
                SetWeight(0, "s-2", 1.0),
                AssignTable(7, 0, ("read",)),
                AssignTable(1, 0, ("read",)),
            ]
        )
        for _ in range(3):
            self.outbox.on_response(relay_state.apply(self.outbox.next_call()))
        self.assertIsNone(self.outbox.time_until_call())
        self.assertEqual(relay_state.tables, {0: {"s-1": 1.0, "s-2": 1.0}})
        self.assertEqual(relay_state.assignments, {(1, ("read",)): 0})
        self.assertEqual(len(self.log.lines), 2)

    def test_a_call_has_at_most_60000_bytes_and_the_rest_follows_in_order(self):
        """The limit applies to the whole line."""
        orders = [
            SetWeight(table, f"s-{number}", 1.5) for table in range(20) for number in range(100)
        ]
        self.outbox.add(orders)
        sent = []
        while self.outbox.time_until_call() == 0:
            line = self.outbox.next_call()
            call = json.loads(line)
            self.assertLessEqual(len(line), 60_000)
            sent += call["params"]["ops"]
            self.outbox.on_response(RelayState.answer(call, len(call["params"]["ops"])))
        self.assertEqual(sent, [order_fields(order) for order in orders])

    def test_an_order_that_the_relay_cannot_read_is_found_and_left_out(self):
        """Calls are halved until the unreadable order is in a call of its own, and is dropped."""
        orders = [SetWeight(0, name, 1.0) for name in ("s-1", "bad", "s-2", "s-3")]
        self.outbox.add(orders)
        accepted = []
        for _ in range(20):
            self.clock += SECOND
            if self.outbox.time_until_call() != 0:
                break
            call = json.loads(self.outbox.next_call())
            ops = call["params"]["ops"]
            if any(order["server"] == "bad" for order in ops):
                self.outbox.on_response(pack({"id": call["id"], "error": {"message": "invalid"}}))
            else:
                accepted += ops
                self.outbox.on_response(RelayState.answer(call, len(ops)))
        self.assertIsNone(self.outbox.time_until_call())
        self.assertEqual([order["server"] for order in accepted], ["s-1", "s-2", "s-3"])

    def test_a_call_that_is_too_long_for_the_relay_is_sent_in_parts(self):
        """The relay's error for such a call has no id, and still counts as its response.

        At full size, such an error was once treated as the response to another call.
        """
        orders = [SetWeight(0, f"s-{number}", 1.5) for number in range(40)]
        self.outbox.add(orders)
        sent = []
        for _ in range(20):
            self.clock += SECOND
            if self.outbox.time_until_call() != 0:
                break
            line = self.outbox.next_call()
            call = json.loads(line)
            if len(line) > 1000:
                self.outbox.on_response(
                    b'{"error":{"code":-32602,"message":"invalid"},"id":null,"jsonrpc":"2.0"}\n'
                )
            else:
                sent += call["params"]["ops"]
                self.outbox.on_response(RelayState.answer(call, len(call["params"]["ops"])))
        self.assertEqual(sent, [order_fields(order) for order in orders])
        self.assertEqual(self.outbox.unknown_outcome_calls, 0)

    def test_orders_for_a_proxy_that_left_are_not_sent_again(self):
        """Orders for the proxy are dropped from the pending ones and from the call in flight."""
        self.outbox.add([AssignTable(1, 0, ("read",)), AssignTable(2, 0, ("read",))])
        self.outbox.next_call()
        self.outbox.add([AssignTable(1, 3, ("read",))])
        self.outbox.drop_proxy(1)
        self.outbox.on_call_lost()
        self.assertEqual(
            [order["proxy"] for order in json.loads(self.outbox.next_call())["params"]["ops"]], [2]
        )

    def test_throttled_calls_back_off_up_to_a_limit(self):
        """The delay doubles from 50 ms to 400 ms."""
        self.outbox.add([SetWeight(0, "s-1", 1.0)])
        waits = []
        for _ in range(6):
            self.outbox.next_call()
            self.outbox.on_response(
                pack({"id": self.outbox.call_number, "error": {"message": "throttled"}})
            )
            waits.append(self.outbox.time_until_call())
            self.clock += waits[-1]
        self.assertEqual(waits, [50_000, 100_000, 200_000, 400_000, 400_000, 400_000])

    def test_order_keys_identify_what_an_order_sets(self):
        """Opposite orders for a server have the same key; orders for two proxies do not."""
        self.assertEqual(order_key(SetEjected("s-1", True)), order_key(SetEjected("s-1", False)))
        self.assertNotEqual(
            order_key(AssignTable(1, 0, ("read",))), order_key(AssignTable(2, 0, ("read",)))
        )
