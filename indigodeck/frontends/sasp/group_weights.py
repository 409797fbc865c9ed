"""What a load balancer is told of the members of a group: the class's table as weight entries.

Nothing is weighed here: what can't be told by a weight is told by a flag, and where there is no
table yet, that there is no opinion (docs/sasp.md).
"""

from ...planner.planner_host import PlannerHost
from ...planner.weights import scale_weights
from .codec import BY_BALANCER, CONFIDENT, CONTACT_SUCCESS, QUIESCED, Address, Entry, Member
from .registration import Group, SaspEnvironment

NEUTRAL_WEIGHT = 1  # of a member of which nothing is known: the same for all


class GroupWeights:
    """Writes the entries of groups."""

    def __init__(self, planner_host: PlannerHost, environment: SaspEnvironment) -> None:
        self._planner_host = planner_host
        self._environment = environment

    def entries(self, group: Group, table: dict[int, float] | None, trust: bool) -> list[Entry]:
        """Return the entries of a group for a table of weights by server, or for None yet.

        With `trust` a load balancer also takes servers that nobody has registered with it.
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
                # None that it may use is in the table: that says nothing of those that it has.
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
        """Return no opinion: all alike and not confident, but for those that drain or are gone."""
        entries = [
            self._entry(group, address, NEUTRAL_WEIGHT, self._environment.server_at(address))
            for address in sorted(group.members)
        ]
        named = {entry.member.endpoint() for entry in entries}
        for server in sorted(self._planner_host.ejected_servers):
            # It may hold such a host from an earlier connection, and never have registered it.
            ejected = self._environment.address_of(server)
            if trust and ejected and ejected not in named:
                entries.append(self._entry(group, ejected, 0, server))
        # None of it is from a table: a proxy that took the first confident entry for a whole table
        # was left without a server.
        return [entry._replace(flags=entry.flags & ~CONFIDENT) for entry in entries]

    def _entry(self, group: Group, address: Address, weight: int, server: int | None) -> Entry:
        # By ejections, never by the list: a host wrongly listed as gone may be kept on purpose.
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
