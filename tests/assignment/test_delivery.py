"""What proxies are written, within the channel's and the messages' limits."""

import unittest

from rig import Rig, TraceCase, deployment_settings, server

from assignment.scenarios import fleet, large_deployment
from indigodeck.assignment.interface import ServerState, UpdateKind
from indigodeck.clock import SECOND


class MessageLimitTest(TraceCase):
    """Messages to one proxy."""

    def test_messages_stay_under_the_limit(self):
        """Changes at any pace stay below the messages allowed."""
        rig = Rig(deployment_settings(max_messages=8))
        rig.start(fleet())
        rig.printed.clear()
        for step in range(24):
            rig.change(server(step // 2, "ready" if step % 2 else ServerState.DRAINING))
            rig.run(0.4)
        moments = {line[:9] for line in rig.printed if "table" in line or "withdraw" in line}
        self.assertLessEqual(len(moments) + 1, 8)

    def test_joins_among_cold_servers_leave_messages_for_the_next_drains(self):
        """Changes of cold servers do not use up what ejections need."""
        # Day h8334b8: a restarted planner, proxies that join one by one, cold servers, and servers
        # that drain in waves.
        rig = Rig(deployment_settings(max_messages=20, proxy_count=40))
        rig.clock = 60 * SECOND
        rig.assigner.on_endpoint_update(
            UpdateKind.CHANGES,
            [server(index, started=index % 3 * 25 * SECOND) for index in range(12)],
        )
        for proxy in range(40):
            rig.assigner.on_proxy_joined(proxy, 0, 2.0 + proxy % 7, False)
            rig.run(0.1)
        most = max(len(proxy.message_times) for proxy in rig.assigner.state.proxies.values())
        rig.printed = [f"messages to one proxy while 40 joined: {most}"]
        for index in (4, 7, 9):
            rig.change(server(index, ServerState.DRAINING))
            rig.run(0.4)
        rig.printed = [line for line in rig.printed if "withdraw" in line or "messages" in line]
        self.compare("drains-after-joins", rig)
        self.assertEqual(rig.assigner.state.ejected, {4, 7, 9})

    def test_proxy_at_its_limit_holds_back_its_own_ejections_alone(self):
        """Ejections that it does not need are written."""
        rig = Rig(deployment_settings(max_messages=20, proxy_count=40))
        rig.start(fleet(30), proxies=40)
        rig.run(3)
        first = rig.assigner.state.proxies[0]
        first.message_times.extend([rig.clock] * (19 - len(first.message_times)))
        held = set().union(
            *(table.published_weights for table in rig.assigner.state.tables if 0 in table.proxies)
        )
        others = sorted(set(range(30)) - held)
        rig.change(server(others[0], ServerState.DRAINING), server(min(held), ServerState.DRAINING))
        self.assertEqual(rig.assigner.state.ejected, {others[0]})
        rig.run(11)
        self.assertEqual(rig.assigner.state.ejected, {others[0], min(held)})


class JoinTest(unittest.TestCase):
    """Proxies that join."""

    def test_many_joins_wait_for_the_channel_and_all_are_assigned(self):
        """The queue stays below its limit, and all get their tables."""
        rig = large_deployment()
        self.assertLess(rig.assigner.state.channel.lines_waiting, 6800 / 2)
        rig.run(6)
        binds = [line.split() for line in rig.printed if "bind" in line]
        self.assertEqual(len(binds), 2 * 270)
        self.assertLess(len({bind[6] for bind in binds}), 270 / 4)


class DepartedServerTest(unittest.TestCase):
    """Servers that are gone."""

    def test_server_long_gone_is_forgotten(self):
        """Nothing is kept of it after a while."""
        rig = Rig()
        rig.start(fleet())
        rig.change(server(3, ServerState.GONE))
        rig.run(15)
        self.assertIn(3, rig.assigner.state.ejected)
        rig.run(15)
        self.assertNotIn(3, rig.assigner.state.ejected)
        self.assertNotIn(3, rig.assigner.state.health)
        self.assertTrue(any("forget server 3" in line for line in rig.printed))
