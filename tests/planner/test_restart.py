"""Restart of a planner with a store, and failure of the store."""

import asyncio
import errno
import unittest.mock

from support import until

from .stored_planner import StoredPlannerCase, connected_client, folder_of, restarted

LIST_SAVE_WAIT_SECONDS = 1.3  # the endpoint list is saved at most once a second


class RestartTest(StoredPlannerCase):
    """A planner that is started twice with the same folder."""

    async def test_versions_tables_and_rollbacks_survive_a_restart(self) -> None:
        """The epoch is new, and the content stays the same until something changes."""
        planner = self.planner
        async with planner:
            async with connected_client(planner) as client:
                publisher = planner.service.versions.publisher
                await until(publisher.newest_version)
                first = publisher.newest_version()
                planner.set_host_states(host_0="draining", host_1="draining")
                await client.until_without(0, 1)
                planner.set_host_states(host_0="ready", host_1="ready")
                await client.until_hosts(set(range(6)))
                answer = await planner.service.versions.on_operator_request(
                    {
                        "what": "rollback",
                        "number": str(max(publisher.version_log.versions)),
                        "classes": ["reading"],
                        "author": "duty",
                        "reason": "to see",
                    }
                )
                self.assertIn("reading held at", answer["done"])
                last = publisher.newest_version()
                content_hash = publisher.version_log.content_hash()
            planner.service.close()
            async with restarted(planner), connected_client(planner) as client:
                await asyncio.sleep(0.5)
                publisher = planner.service.versions.publisher
                self.assertEqual(
                    (publisher.newest_version(), publisher.version_log.content_hash()),
                    (last, content_hash),
                )
                self.assertEqual(publisher.requests.rollbacks["reading"].author, "duty")
                planner.set_host_states(host_2="draining")
                await client.until_without(2)
                newest = publisher.newest_version()
                self.assertEqual((first.epoch, newest.epoch, newest.serial), (1, 2, 1))
                await until(
                    lambda: [
                        status
                        for status in publisher.relay_versions.statuses()
                        if status[1:] == (publisher.newest_version(), True, True)
                    ]
                )

    async def test_the_stored_list_replaces_an_unreadable_one(self) -> None:
        """A list older than the stored one is not used; a newer one is."""
        planner = self.planner
        async with planner:
            async with connected_client(planner) as client:
                planner.set_host_states(host_3="draining")
                await client.until_without(3)
                await asyncio.sleep(LIST_SAVE_WAIT_SECONDS)
            planner.service.close()
            (folder_of(planner) / "roster.json").unlink()
            async with restarted(planner), connected_client(planner) as client:
                service = planner.service
                self.assertEqual(client.host_numbers(), {0, 1, 2, 4, 5})
                index_of = service.endpoints.server_ids.index_of
                self.assertEqual(
                    sorted(service.planner_host.assigner.state.tables[0].members),
                    [index_of[f"host-{number}"] for number in (0, 1, 2, 4, 5)],
                )
                stored_list_stats = await self.stored_list_stats()
                self.assertEqual(
                    (stored_list_stats["named"], service.endpoints.endpoint_list.version), (6, 2)
                )
                planner.version = 0
                planner.set_host_states(host_4="draining")
                await until(lambda: planner.log_events("endpoint_list_stale"))
                self.assertIn(4, client.host_numbers())
                planner.version = 5
                planner.set_host_states(host_4="draining")
                await client.until_without(4)
                self.assertIsNone(await self.stored_list_stats())

    async def stored_list_stats(self):
        """Return what operators see of the stored list, or None if it is not in use."""
        answer = await self.planner.service.versions.on_operator_request({"what": "trust"})
        return answer["trust"]


class StoppedStoreTest(StoredPlannerCase):
    """A store that cannot be written."""

    async def test_tables_change_while_the_store_is_stopped(self) -> None:
        """The log states that the store has stopped."""
        planner = self.planner
        disk_full = OSError(errno.ENOSPC, "no space left on device")
        async with planner, connected_client(planner) as client:
            files = planner.service.versions.store.files
            with unittest.mock.patch.object(files, "append", side_effect=disk_full):
                planner.set_host_states(host_0="draining")
                await client.until_without(0)
                await until(lambda: planner.log_events("store_stopped"))
