"""A relay that is not part of this project: the stock gRPC client with an xDS bootstrap."""

import asyncio
import json
import os
from collections.abc import Callable, Sequence
from typing import Any

import grpc

from ..clock import SECOND
from .grpc_host import METHOD_PREFIX

REQUEST_TIMEOUT_S = 5


def bootstrap(planner: str, uid: str, zone: str) -> str:
    """Return the xDS bootstrap configuration: the planner's address and the client's identity."""
    return json.dumps(
        {
            "xds_servers": [
                {
                    "server_uri": planner,
                    "channel_creds": [{"type": "insecure"}],
                    "server_features": ["xds_v3"],
                }
            ],
            "node": {"id": uid, "locality": {"zone": zone}},
        }
    )


async def send_requests(
    planner: str,
    uid: str,
    zone: str,
    class_names: Sequence[str],
    rate: float,
    seconds: float,
    concurrency: int,
    write: Callable[[dict[str, Any]], None],
    now: Callable[[], int],
) -> None:
    """Send `rate` requests per second, evenly over the classes, and write an outcome for each.

    At most `concurrency` requests are in flight. If hosts on a slow machine cannot keep up, they
    are sent fewer requests, instead of a growing backlog.
    """
    os.environ["GRPC_XDS_BOOTSTRAP_CONFIG"] = bootstrap(planner, uid, zone)
    channels = {name: grpc.aio.insecure_channel(f"xds:///{name}") for name in class_names}
    calls = {name: channel.unary_unary(METHOD_PREFIX + name) for name, channel in channels.items()}
    tasks: set[asyncio.Task[None]] = set()
    free_slots = asyncio.Semaphore(concurrency)

    async def send(name: str, waits_for_connection: bool) -> None:
        sent_at = now()
        outcome = "ok"
        try:
            await calls[name](
                b"",
                timeout=REQUEST_TIMEOUT_S,
                metadata=[("relay", uid)],
                wait_for_ready=waits_for_connection,
            )
        except grpc.aio.AioRpcError as error:
            outcome = f"{error.code().name}: {error.details()}"
        elapsed = now() - sent_at
        write({"at": sent_at, "relay": uid, "class": name, "outcome": outcome, "took": elapsed})

    def on_done(task: asyncio.Task[None]) -> None:
        tasks.discard(task)
        free_slots.release()

    started = now()
    count = 0
    while now() - started < seconds * SECOND:
        await free_slots.acquire()
        name = class_names[count % len(class_names)]
        task = asyncio.get_running_loop().create_task(send(name, count < len(class_names)))
        tasks.add(task)
        task.add_done_callback(on_done)
        count += 1
        await asyncio.sleep(max(0.0, (started + count * SECOND / rate - now()) / SECOND))
    await asyncio.gather(*tasks)
    for channel in channels.values():
        await channel.close()
