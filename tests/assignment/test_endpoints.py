"""The endpoint list: removals, wrong lists, and requests for it."""

from rig import Rig, TraceCase, deployment_settings, server

from assignment.scenarios import fleet
from indigodeck.assignment.interface import ServerState, UpdateKind
from indigodeck.clock import SECOND


class RemovalTest(TraceCase):
    """Servers that drain or are gone."""

    def test_draining_and_gone_servers_leave_at_once(self):
        """They are ejected and out of all tables within the same call."""
        rig = Rig()
        rig.start(fleet())
        rig.run(1)
        rig.printed.clear()
        rig.change(server(3, ServerState.DRAINING))
        rig.assigner.on_endpoint_update(UpdateKind.CHANGES, [server(5, ServerState.GONE)])
        rig.change(server(5, started=SECOND))
        self.compare("drain", rig)

    def test_servers_wrongly_listed_as_gone_stay_while_they_answer(self):
        """Where removal is not final, health checks decide."""
        rig = Rig(deployment_settings(removal_is_final=False, health_checks_allowed=True))
        rig.start(fleet())
        rig.run(1)
        rig.printed.clear()
        rig.change(
            server(3, ServerState.GONE),
            server(4, ServerState.GONE),
            server(5, ServerState.DRAINING),
        )
        rig.change(server(5, ServerState.GONE))
        rig.run(0.3)
        rig.assigner.on_health_check(3, "ok", 0, None)
        rig.assigner.on_health_check(4, "unreachable", 0, None)
        rig.run(1.5)
        self.compare("wrong-list", rig)

    def test_servers_listed_as_gone_stay_without_health_checks_while_they_complete(self):
        """Without health checks, completed requests decide."""
        rig = Rig(deployment_settings(removal_is_final=False))
        rig.start(fleet())
        rig.run(3, lambda rig: rig.report())
        rig.change(server(3, ServerState.GONE), server(4, ServerState.GONE))
        rig.run(5, lambda rig: rig.report(failed=lambda index: 20 if index == 4 else 0))
        self.assertTrue(rig.tables[0][3])
        self.assertFalse(rig.tables[0][4])


class ListRequestTest(TraceCase):
    """The list where it must be asked for."""

    def test_list_is_requested_again_later_after_each_failure(self):
        """Pauses grow from a second on."""
        rig = Rig(deployment_settings(list_on_request=True))
        rig.start(fleet(4))
        for _ in range(4):
            rig.assigner.on_endpoint_list_failed()
            rig.run(9)
        rig.printed = [line for line in rig.printed if "watch" in line]
        self.compare("list-requests", rig)
