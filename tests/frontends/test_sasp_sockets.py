"""Tests of the SASP frontend over sockets, with peers that are malformed, slow or do not read."""

import asyncio
import socket
import time
import unittest

from support import Planner, peer, ports, until

from indigodeck.client import Tables
from indigodeck.client.sasp import table_entry
from indigodeck.clock import now
from indigodeck.frontends.sasp import codec

OPENING_MESSAGES = codec.set_balancer(1, b"raw", 127, True, True, True) + codec.register(
    2, True, [((b"raw", b"reading"), [])]
)


class SaspSocketsTest(unittest.IsolatedAsyncioTestCase):
    """A planner in this process, and peers that misbehave in various ways."""

    async def test_malformed_peers_are_disconnected_with_one_log_line_and_others_are_unaffected(
        self,
    ):
        """A complete message with wrong lengths inside is answered instead."""
        async with Planner(message_ms=200, message_bytes=4096) as planner:
            tables, client, task = planner.client()
            await until(lambda: ports(tables) == set(range(6)))
            malformed = {
                "half a message": OPENING_MESSAGES[:20],
                "a huge length": codec.HEADER.pack(0x2010, 13, 1, 1 << 30, 1),
                "version 2": codec.HEADER.pack(0x2010, 13, 2, 17, 1) + bytes(4),
                "rubbish": b"GET / HTTP/1.1\r\n\r\n",
                "an unknown type": codec.message(1, 0x7777),
            }
            for nth, (description, data) in enumerate(malformed.items()):
                with self.subTest(description):
                    async with peer(planner.port) as (reader, writer):
                        writer.write(data)
                        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
                        await until(
                            lambda count=nth + 1: (
                                len(planner.log_events("connection_closed")) == count
                            )
                        )
            # A complete message with wrong lengths inside is answered with a return code, and the
            # connection stays open.
            async with peer(planner.port) as (reader, writer):
                wrong = bytearray(codec.register(9, True, [((b"raw", b"reading"), [])]))
                wrong[25] = 200
                writer.write(bytes(wrong) + OPENING_MESSAGES)
                return_code, second_answer = (
                    (await asyncio.wait_for(reader.readexactly(18), 5))[-1],
                    await reader.readexactly(18),
                )
                self.assertEqual(
                    (return_code, second_answer[-1]), (codec.NOT_UNDERSTOOD, codec.SUCCESSFUL)
                )
            planner.set_host_states(host_2="draining")
            await until(lambda: ports(tables) == {0, 1, 3, 4, 5})
            client.stop()
            await task

    async def test_messages_that_arrive_byte_by_byte_are_answered(self):
        """A message may arrive in any number of pieces within the time limit."""
        async with Planner() as planner, peer(planner.port) as (reader, writer):
            for byte in OPENING_MESSAGES:
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(0.001)
            answers = await asyncio.wait_for(reader.readexactly(36), 5)
            self.assertEqual((answers[17], answers[35]), (0, 0))
            pushed = await asyncio.wait_for(reader.readexactly(13), 5)
            self.assertEqual(pushed[:5], bytes.fromhex("2010000d01"))

    async def test_a_proxy_that_polls_too_often_waits_and_does_not_delay_others(self):
        """Its answers are delayed, and orders to other proxies are not."""
        channel = {
            "messages_most": 8,
            "answers_most": 4,
            "messages_span_ms": 500,
            "way_longest_ms": 20,
        }
        async with Planner(channel=channel) as planner:
            tables, client, task = planner.client()
            async with peer(planner.port) as (reader, writer):
                request = codec.get_weights(3, [(b"raw", b"reading")])
                writer.write(OPENING_MESSAGES + request * 20)
                times = []
                while len(times) < 12:
                    header = await asyncio.wait_for(reader.readexactly(13), 10)
                    await reader.readexactly(int.from_bytes(header[5:9], "big") - 13)
                    times.append(now())
                    if len(times) == 6:
                        planner.set_host_states(host_1="draining")
                        await until(lambda: ports(tables) == {0, 2, 3, 4, 5})
                # At most eight messages within 500 ms, whatever is requested: any ninth message
                # comes later than that. The bound leaves a margin of 50 ms.
                self.assertGreaterEqual(
                    min(ninth - first for first, ninth in zip(times, times[8:], strict=False)),
                    450_000,
                )
            client.stop()
            await task

    async def test_a_proxy_that_stops_reading_delays_no_other_and_ends_on_the_newest_state(self):
        """The changes that wait for it are combined, and do not become a message each."""
        async with Planner(hosts=40, channel={"messages_most": 0}) as planner:
            stalled = socket.socket()
            stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            stalled.connect(("127.0.0.1", planner.port))
            stalled.sendall(OPENING_MESSAGES)
            tables, client, task = planner.client()
            await until(lambda: len(ports(tables)) >= 4)
            for nth in range(30):
                planner.set_host_states(**{f"host_{nth}": "draining"})
                await until(lambda drained=set(range(nth + 1)): not ports(tables) & drained)
            limit = planner.service.planner_host.settings.channel.max_waiting_lines
            self.assertLess(planner.service.planner_host.updates.peak_waiting_lines, limit)
            stalled_tables, data = Tables(["reading"], now), b""
            stalled.setblocking(False)
            idle_reads = 0
            while idle_reads < 50 or planner.service.planner_host.has_pending(
                planner.service.proxies.proxy_ids.index(b"raw")
            ):
                await asyncio.sleep(0.01)
                try:
                    data, idle_reads = data + stalled.recv(65536), 0
                except BlockingIOError:
                    idle_reads += 1
            messages = 0
            while len(data) >= 13:
                length = int.from_bytes(data[5:9], "big")
                codec.dispatch(data[:length], TableReader(stalled_tables))
                data, messages = data[length:], messages + 1
            self.assertLess(messages, 30)
            self.assertEqual(set(stalled_tables.lines["reading"]), set(tables.lines["reading"]))
            stalled.close()
            client.stop()
            await task

    async def test_after_a_stall_the_planner_sends_no_burst_of_messages(self):
        """A planner whose event loop was blocked stays within the message limit afterwards."""
        async with Planner(channel={"messages_most": 30, "answers_most": 10}) as planner:
            tables, client, task = planner.client()
            await until(lambda: ports(tables) == set(range(6)))
            written = planner.service.proxies.message_quota(b"hall-a/r1").written
            written_before = len(written)
            time.sleep(2)  # blocks the event loop
            planner.set_host_states(host_0="draining")
            await until(lambda: ports(tables) == set(range(1, 6)))
            self.assertLessEqual(len(written) - written_before, 4)
            client.stop()
            await task


class TableReader:
    """Applies SASP messages to tables, as a client would."""

    def __init__(self, tables):
        self.tables = tables

    def answered(self, *_):
        """Ignore an answer."""
        pass

    def sent_weights(self, message_id, groups):
        """Apply pushed weights."""
        for (_, name), entries in groups:
            self.tables.update(name.decode(), [table_entry(entry) for entry in entries])


if __name__ == "__main__":
    unittest.main()
