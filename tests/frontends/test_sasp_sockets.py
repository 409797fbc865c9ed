"""The SASP frontend over sockets: relays that are malformed, slow, impatient or read nothing."""

import asyncio
import socket
import time
import unittest

from support import Planner, host_numbers, raw_connection, until

from indigodeck.client import Tables
from indigodeck.client.sasp import table_entry
from indigodeck.clock import now
from indigodeck.frontends.sasp import codec

HELLO = codec.set_balancer(1, b"raw", 127, True, True, True) + codec.register(
    2, True, [((b"raw", b"reading"), [])]
)


class SaspRelays(unittest.IsolatedAsyncioTestCase):
    """A planner in this process and relays that behave badly in some way."""

    async def test_malformed_peers_are_disconnected_with_one_line_and_the_others_do_not_notice(
        self,
    ):
        """Wrong lengths inside a whole message are answered instead."""
        async with Planner(message_ms=200, message_bytes=4096) as planner:
            tables, client, task = planner.client()
            await until(lambda: host_numbers(tables) == set(range(6)))
            malformed = {
                "half a message": HELLO[:20],
                "a huge length": codec.HEADER.pack(0x2010, 13, 1, 1 << 30, 1),
                "version 2": codec.HEADER.pack(0x2010, 13, 2, 17, 1) + bytes(4),
                "rubbish": b"GET / HTTP/1.1\r\n\r\n",
                "an unknown type": codec.message(1, 0x7777),
            }
            for nth, (what, data) in enumerate(malformed.items()):
                with self.subTest(what):
                    async with raw_connection(planner.port) as (reader, writer):
                        writer.write(data)
                        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
                        await until(
                            lambda count=nth + 1: (
                                len(planner.log_events("connection_closed")) == count
                            )
                        )
            # Wrong lengths within a whole message are answered with the protocol's code, and the
            # peer goes on.
            async with raw_connection(planner.port) as (reader, writer):
                wrong = bytearray(codec.register(9, True, [((b"raw", b"reading"), [])]))
                wrong[25] = 200
                writer.write(bytes(wrong) + HELLO)
                code, fine = (
                    (await asyncio.wait_for(reader.readexactly(18), 5))[-1],
                    await reader.readexactly(18),
                )
                self.assertEqual((code, fine[-1]), (codec.NOT_UNDERSTOOD, codec.DONE))
            planner.set_host_states(host_2="draining")
            await until(lambda: host_numbers(tables) == {0, 1, 3, 4, 5})
            client.stop()
            await task

    async def test_one_byte_at_a_time_is_slow_and_fine(self):
        """A message may arrive in pieces."""
        async with Planner() as planner, raw_connection(planner.port) as (reader, writer):
            for byte in HELLO:
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(0.001)
            answers = await asyncio.wait_for(reader.readexactly(36), 5)
            self.assertEqual((answers[17], answers[35]), (0, 0))
            pushed = await asyncio.wait_for(reader.readexactly(13), 5)
            self.assertEqual(pushed[:5], bytes.fromhex("2010000d01"))

    async def test_a_relay_that_asks_too_often_waits_and_delays_nobody(self):
        """Its answers wait, and orders do not."""
        channel = {
            "messages_most": 8,
            "answers_most": 4,
            "messages_span_ms": 500,
            "way_longest_ms": 20,
        }
        async with Planner(channel=channel) as planner:
            tables, client, task = planner.client()
            async with raw_connection(planner.port) as (reader, writer):
                ask = codec.get_weights(3, [(b"raw", b"reading")])
                writer.write(HELLO + ask * 20)
                times = []
                while len(times) < 12:
                    head = await asyncio.wait_for(reader.readexactly(13), 10)
                    await reader.readexactly(int.from_bytes(head[5:9], "big") - 13)
                    times.append(now())
                    if len(times) == 6:
                        planner.set_host_states(host_1="draining")
                        await until(lambda: host_numbers(tables) == {0, 2, 3, 4, 5})
                # No more than eight within the span, whatever is asked: the ninth comes after it.
                self.assertGreaterEqual(
                    min(b - a for a, b in zip(times, times[8:], strict=False)), 450_000
                )
            client.stop()
            await task

    async def test_a_relay_that_reads_nothing_holds_up_nobody_and_ends_on_the_newest_state(self):
        """What waits for it is one message."""
        async with Planner(hosts=40, channel={"messages_most": 0}) as planner:
            stalled = socket.socket()
            stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            stalled.connect(("127.0.0.1", planner.port))
            stalled.sendall(HELLO)
            tables, client, task = planner.client()
            await until(lambda: len(host_numbers(tables)) >= 4)
            for nth in range(30):
                planner.set_host_states(**{f"host_{nth}": "draining"})
                await until(lambda drained=set(range(nth + 1)): not host_numbers(tables) & drained)
            limit = planner.service.planner_host.settings.channel.max_waiting_lines
            self.assertLess(planner.service.planner_host.updates.peak_waiting_lines, limit)
            held, data = Tables(["reading"], now), b""
            stalled.setblocking(False)
            idle = 0
            while idle < 50 or planner.service.planner_host.has_pending(
                planner.service.proxies.proxy_ids.index(b"raw")
            ):
                await asyncio.sleep(0.01)
                try:
                    data, idle = data + stalled.recv(65536), 0
                except BlockingIOError:
                    idle += 1
            messages = 0
            while len(data) >= 13:
                whole = int.from_bytes(data[5:9], "big")
                codec.dispatch(data[:whole], TableReader(held))
                data, messages = data[whole:], messages + 1
            self.assertLess(messages, 30)
            self.assertEqual(set(held.lines["reading"]), set(tables.lines["reading"]))
            stalled.close()
            client.stop()
            await task

    async def test_a_stall_is_caught_up_without_a_burst(self):
        """A planner that stood still stays within the message limit."""
        async with Planner(channel={"messages_most": 30, "answers_most": 10}) as planner:
            tables, client, task = planner.client()
            await until(lambda: host_numbers(tables) == set(range(6)))
            wrote = planner.service.proxies.message_quota(b"hall-a/r1").written
            before = len(wrote)
            time.sleep(2)  # the whole loop stands still
            planner.set_host_states(host_0="draining")
            await until(lambda: host_numbers(tables) == set(range(1, 6)))
            self.assertLessEqual(len(wrote) - before, 4)
            client.stop()
            await task


class TableReader:
    """Applies SASP messages to tables, as a client would."""

    def __init__(self, tables):
        self.tables = tables

    def answered(self, *_):
        """Ignore an answer."""
        pass

    def sent_weights(self, number, groups):
        """Apply pushed weights."""
        for (_, name), entries in groups:
            self.tables.update(name.decode(), [table_entry(entry) for entry in entries])


if __name__ == "__main__":
    unittest.main()
