"""Tests of the SASP client with planners that fail in various ways."""

import asyncio
import unittest

from support import until

from indigodeck.client import MalformedResponseError, RequestRejectedError, Tables, UnreachableError
from indigodeck.client.sasp import SaspClient
from indigodeck.clock import now
from indigodeck.frontends.sasp import codec


class SaspClientFailuresTest(unittest.IsolatedAsyncioTestCase):
    """A client that reconnects to a planner with scripted responses."""

    async def test_tables_outlive_planners_that_stall_send_garbage_and_restart(self):
        """Each failure is reported as its own error, and the table received first is kept."""
        table = [
            (
                (b"r", b"reading"),
                [codec.Entry(codec.Member.at("127.0.0.1", 9001), 7, codec.CONFIDENT)],
            )
        ]
        opening_replies = codec.answer(1, codec.BALANCER_SET, 0) + codec.answer(
            2, codec.REGISTERED, 0
        )
        truncated = codec.send_weights(
            9,
            [
                (
                    (b"r", b"reading"),
                    [codec.Entry(codec.Member.at("127.0.0.1", 9002), 7, codec.CONFIDENT)],
                )
            ],
        )
        # What the planner sends on each connection in turn.
        scripts = [
            opening_replies + codec.send_weights(9, table),
            opening_replies + truncated[:30],
            b"",
            b"nonsense, at length, in place of a header",
            codec.answer(1, codec.BALANCER_SET, codec.NOT_ACCEPTED),
            codec.answer(77, codec.REGISTERED, 0),
            opening_replies + codec.send_weights(9, [((b"r", b"other"), table[0][1])]),
            opening_replies + codec.send_weights(9, table),
        ]
        errors, connected_at, held_tables = [], [], []

        async def planner(reader, writer):
            connected_at.append(now())
            script = (
                scripts[len(connected_at) - 1] if len(connected_at) <= len(scripts) else scripts[-1]
            )
            writer.write(script)
            if len(connected_at) in (1, 7):
                await asyncio.sleep(0.1)
                writer.close()  # as a planner that restarts
            else:
                await reader.read()
                writer.close()

        server = await asyncio.start_server(planner, "127.0.0.1", 0)
        tables = Tables(["reading"], now)
        client = SaspClient(
            "r",
            [server.sockets[0].getsockname()[:2]],
            tables,
            response_timeout=0.3,
            connection_lost=lambda error: (
                errors.append(type(error)),
                held_tables.append(dict(tables.lines["reading"])),
            ),
        )
        client.backoff.first_delay, client.backoff.max_delay = 10_000, 40_000
        task = asyncio.get_running_loop().create_task(client.run())
        await until(lambda: len(connected_at) >= 8)
        self.assertEqual(
            errors[:7],
            [
                UnreachableError,
                UnreachableError,
                UnreachableError,
                MalformedResponseError,
                RequestRejectedError,
                MalformedResponseError,
                UnreachableError,
            ],
        )
        # The table received on the first connection is kept through all failures, with its age.
        self.assertEqual(held_tables, [{("127.0.0.1", 9001): 7}] * len(held_tables))
        self.assertGreater(tables.age("reading"), 0)
        client.stop()
        await task
        server.close()


if __name__ == "__main__":
    unittest.main()
