"""Tests of the planner's own address, with real connections on loopback."""

from harness import SECOND
from support import until
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.testing import AsyncTestCase, gen_test

from edge.stand_ins import CODEC, DEMAND, OUTCOMES, PROXY_JOINED, RecordingHost
from indigodeck.clock import now
from indigodeck.edge import collector_protocol, connecting, listener
from indigodeck.edge.json_fields import pack


class CollectorListenerTest(AsyncTestCase):
    """Collectors, health checks and unidentified clients at the same time."""

    def open_listener(self, host):
        """Return a listener and its address."""
        collector_listener = listener.CollectorListener(host, CODEC, now, 128)
        sockets = bind_sockets(0, "127.0.0.1")
        collector_listener.add_sockets(sockets)
        return collector_listener, sockets[0].getsockname()[:2]

    async def read_to_end(self, stream):
        """Return the data that a client receives until its connection is closed."""
        return await connecting.with_deadline(10 * SECOND, stream.read_until_close())

    @gen_test(timeout=60)
    async def test_invalid_clients_are_disconnected_without_effect_on_others(self):
        """A collector's reports are handled while other clients violate the protocol."""
        host = RecordingHost()
        collector_listener, address = self.open_listener(host)
        collector = await connecting.connect(address, SECOND)
        await collector.write(b'{"type":"agent","zone":"a"}\n')
        await until(lambda: collector_listener.collectors[0])
        for data in (
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            b"\xff\xfe\n",
            b'{"type":"agent","zone":"nowhere"}\n',
            b"[" * 3000 + b"\n",
            pack(OUTCOMES) + b"\n",
            pack(dict(PROXY_JOINED, type="hello")) + b"\n",
            b"x" * 100_000,
            b'{"type":"commit","params":{"ops":[]}}\n',
            b'{"type":"agent"',
            b"",
        ):
            client = await connecting.connect(address, SECOND)
            try:
                await client.write(data)
                answer = await self.read_to_end(client)
            except StreamClosedError:
                answer = b""
            self.assertIn(answer[:15], (b"", b'{"type":"error"'), data[:30])
        await collector.write(
            pack(dict(OUTCOMES, tries=True))
            + b"\n"
            + b'{"type":"outcomes"}\n'
            + pack(DEMAND)
            + b"\n"
            + pack(OUTCOMES)
            + b"\n"
        )
        await until(lambda: len(host.reports) == 2)
        self.assertEqual(collector_listener.ignored_reports, 2)
        self.assertFalse(collector_listener.unidentified)
        # A line that can't be parsed disconnects a collector, and nothing is written to it.
        await collector.write(b"\x00\x01 and so on\n")
        self.assertEqual(await self.read_to_end(collector), b"")
        self.assertFalse(collector_listener.collectors[0])

    @gen_test(timeout=60)
    async def test_hundreds_of_unidentified_clients_do_not_block_other_clients(self):
        """Health checks and collectors are served; the oldest unidentified clients are dropped."""
        host = RecordingHost()
        collector_listener, address = self.open_listener(host)
        unidentified = []
        for number in range(300):
            stream = await connecting.connect(address, SECOND)
            unidentified.append(stream)
            if number % 3:
                await stream.write(b'{"type":"probe"}\n' if number % 3 == 1 else b'{"type":')
        self.assertLessEqual(
            len(collector_listener.unidentified), collector_listener.max_unidentified
        )
        checker = await connecting.connect(address, SECOND)
        await checker.write(b'{"type":"probe"}\n')
        self.assertEqual(
            await connecting.read_line(checker, 5 * SECOND),
            collector_protocol.HEALTH_CHECK_RESPONSE,
        )
        collector = await connecting.connect(address, SECOND)
        await collector.write(b'{"type":"agent","zone":"b"}\n' + pack(DEMAND) + b"\n")
        await until(lambda: host.reports)
        await until(lambda: not collector_listener.unidentified)
        for stream in unidentified:
            stream.close()

    @gen_test(timeout=30)
    async def test_a_collector_disconnected_within_a_report_loses_only_that_report(self):
        """The complete reports are handled, and the other collectors stay connected."""
        host = RecordingHost()
        collector_listener, address = self.open_listener(host)
        line = pack(OUTCOMES) + b"\n"
        collectors = []
        for number in range(listener.MAX_COLLECTORS_PER_ZONE + 1):
            stream = await connecting.connect(address, SECOND)
            await stream.write(b'{"type":"agent","zone":"a"}\n' + line + line[:40])
            await until(lambda count=number + 1: len(host.reports) == count)
            collectors.append(stream)
        self.assertEqual(await self.read_to_end(collectors[0]), b"")
        for stream in collectors[1:]:
            await stream.write(line[40:])
        await until(lambda: len(host.reports) == 2 * len(collectors) - 1)
        self.assertEqual(collector_listener.ignored_reports, 0)
