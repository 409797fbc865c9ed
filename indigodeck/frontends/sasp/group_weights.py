"""Converts the table of a class to the weight entries of a group.

No weights are computed here. Conditions that a weight can't express are given as flags, and while
there is no table, the entries state that there is no opinion yet (docs/sasp.md).
"""

from ...planner.planner_host import PlannerHost
from ...planner.weights import scale_weights
from .codec import BY_BALANCER, CONFIDENT, CONTACT_SUCCESS, QUIESCED, Address, Entry, Member
from .registration import Group, SaspEnvironment

NEUTRAL_WEIGHT = 1  # of all members alike while there is no table


class GroupWeights:
    """Builds the weight entries of groups."""

    def __init__(self, planner_host: PlannerHost, environment: SaspEnvironment) -> None:
        self._planner_host = planner_host
        self._environment = environment

    def entries(self, group: Group, table: dict[int, float] | None, trust: bool) -> list[Entry]:
        """Return the entries of a group for a table of weights by server; None means no table yet.

        With `trust`, the load balancer also accepts servers that are not registered as members.
        """
        if table is None:
            return self._without_table(group, trust)
        server_at = {
            address: server
            for server in table
            if (address := self._environment.address_of(server)) is not None
        }
        if not trust:
            server_at = {
                address: server for address, server in server_at.items() if address in group.members
            }
            if table and not server_at:
                # The table has none of the members, and so says nothing about them.
                return self._without_table(group, trust)
        weights = scale_weights(table)
        entries = [
            self._entry(group, address, weights[server], server)
            for address, server in sorted(server_at.items())
        ]
        others = (group.members.keys() | group.sent.keys()) - server_at.keys()
        return entries + [
            self._entry(group, address, 0, self._environment.server_at(address))
            for address in sorted(others)
        ]

    def _without_table(self, group: Group, trust: bool) -> list[Entry]:
        """Return entries that state no opinion: equal weights without the confidence flag.

        Ejected servers get weight 0 and the quiesced flag as usual.
        """
        entries = [
            self._entry(group, address, NEUTRAL_WEIGHT, self._environment.server_at(address))
            for address in sorted(group.members)
        ]
        named = {entry.member.endpoint() for entry in entries}
        for server in sorted(self._planner_host.ejected_servers):
            # The load balancer may know this server from an earlier connection, even if it has not
            # registered it.
            ejected = self._environment.address_of(server)
            if trust and ejected and ejected not in named:
                entries.append(self._entry(group, ejected, 0, server))
        # A proxy takes the first confident entries for its whole table. Confident entries that did
        # not come from a table have left a proxy without any server.
        return [entry._replace(flags=entry.flags & ~CONFIDENT) for entry in entries]

    def _entry(self, group: Group, address: Address, weight: int, server: int | None) -> Entry:
        # Decided by the assigner's ejections, not by the endpoint list: the assigner may keep a
        # server on purpose that is wrongly listed as gone.
        quiesced = server in self._planner_host.ejected_servers or address in group.quiesced
        flags = 0
        if quiesced:
            flags |= QUIESCED
        if address in group.registered_by_balancer:
            flags |= BY_BALANCER
        if server is not None:
            flags |= CONFIDENT
            if self._environment.answered_recently(server):
                flags |= CONTACT_SUCCESS
        return Entry(
            group.members.get(address) or Member.at(*address),
            0 if quiesced else weight,
            flags,
            group.states.get(address, 0),
        )
