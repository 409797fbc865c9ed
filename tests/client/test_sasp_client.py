"""The SASP client beside planners that misbehave."""

import asyncio
import unittest

from support import until

from indigodeck.client import MalformedResponseError, RequestRejectedError, Tables, UnreachableError
from indigodeck.client.sasp import SaspClient
from indigodeck.clock import now
from indigodeck.frontends.sasp import codec


class SaspClientAndBadPlanners(unittest.IsolatedAsyncioTestCase):
    """A client that reconnects, and a planner that answers by a script."""

    async def test_tables_outlive_planners_that_stall_send_nonsense_and_restart(self):
        """Each loss has its error, and the table that was given once is kept."""
        table = [
            (
                (b"r", b"reading"),
                [codec.Entry(codec.Member.at("127.0.0.1", 9001), 7, codec.CONFIDENT)],
            )
        ]
        good = codec.answer(1, codec.BALANCER_SET, 0) + codec.answer(2, codec.REGISTERED, 0)
        half = codec.send_weights(
            9,
            [
                (
                    (b"r", b"reading"),
                    [codec.Entry(codec.Member.at("127.0.0.1", 9002), 7, codec.CONFIDENT)],
                )
            ],
        )
        says = [
            good + codec.send_weights(9, table),
            good + half[:30],
            b"",
            b"nonsense, at length, in place of a header",
            codec.answer(1, codec.BALANCER_SET, codec.NOT_ACCEPTED),
            codec.answer(77, codec.REGISTERED, 0),
            good + codec.send_weights(9, [((b"r", b"other"), table[0][1])]),
            good + codec.send_weights(9, table),
        ]
        errors, calls, held = [], [], []

        async def planner(reader, writer):
            calls.append(now())
            said = says[len(calls) - 1] if len(calls) <= len(says) else says[-1]
            writer.write(said)
            if len(calls) in (1, 7):
                await asyncio.sleep(0.1)
                writer.close()  # it restarts
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
                held.append(dict(tables.lines["reading"])),
            ),
        )
        client.backoff.first_delay, client.backoff.max_delay = 10_000, 40_000
        task = asyncio.get_running_loop().create_task(client.run())
        await until(lambda: len(calls) >= 8)
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
        # Whatever came after it, the table that was given once is kept, and its age is known.
        self.assertEqual(held, [{("127.0.0.1", 9001): 7}] * len(held))
        self.assertGreater(tables.age("reading"), 0)
        client.stop()
        await task
        server.close()


if __name__ == "__main__":
    unittest.main()
