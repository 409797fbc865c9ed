"""The endpoint list: removals, wrong lists, and requests for the list."""

from harness import RecordingHost, TraceTestCase, deployment_settings, server

from assignment.scenarios import fleet
from indigodeck.assignment.interface import ServerState, UpdateKind
from indigodeck.clock import SECOND


class RemovalTest(TraceTestCase):
    """Servers that are listed as draining or gone."""

    def test_draining_and_gone_servers_leave_at_once(self):
        """They are ejected and removed from all tables within the same call."""
        host = RecordingHost()
        host.start(fleet())
        host.run(1)
        host.printed.clear()
        host.change(server(3, ServerState.DRAINING))
        host.assigner.on_endpoint_update(UpdateKind.INCREMENTAL, [server(5, ServerState.GONE)])
        host.change(server(5, started=SECOND))
        self.compare("drain", host)

    def test_servers_wrongly_listed_as_gone_stay_while_they_answer(self):
        """Where removal is not final, health checks decide whether a server is removed."""
        host = RecordingHost(
            deployment_settings(removal_is_final=False, health_checks_allowed=True)
        )
        host.start(fleet())
        host.run(1)
        host.printed.clear()
        host.change(
            server(3, ServerState.GONE),
            server(4, ServerState.GONE),
            server(5, ServerState.DRAINING),
        )
        host.change(server(5, ServerState.GONE))
        host.run(0.3)
        host.assigner.on_health_check(3, "ok", 0, None)
        host.assigner.on_health_check(4, "unreachable", 0, None)
        host.run(1.5)
        self.compare("wrong-list", host)

    def test_servers_listed_as_gone_stay_without_health_checks_while_they_complete(self):
        """Where health checks are not allowed, completed requests decide."""
        host = RecordingHost(deployment_settings(removal_is_final=False))
        host.start(fleet())
        host.run(3, lambda host: host.report())
        host.change(server(3, ServerState.GONE), server(4, ServerState.GONE))
        host.run(5, lambda host: host.report(failed=lambda index: 20 if index == 4 else 0))
        self.assertTrue(host.tables[0][3])
        self.assertFalse(host.tables[0][4])


class ListRequestTest(TraceTestCase):
    """Deployments in which the list must be requested."""

    def test_list_is_requested_again_later_after_each_failure(self):
        """The retry delays grow, starting at about one second."""
        host = RecordingHost(deployment_settings(list_on_request=True))
        host.start(fleet(4))
        for _ in range(4):
            host.assigner.on_endpoint_list_failed()
            host.run(9)
        host.printed = [line for line in host.printed if "watch" in line]
        self.compare("list-requests", host)
