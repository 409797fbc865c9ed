"""Maps the deployment's own ids to the small indices that the assigner uses."""

from collections.abc import Hashable


class IdRegistry:
    """A two-way map between ids and indices; an index is never reused for another id."""

    def __init__(self) -> None:
        self.index_of: dict[Hashable, int] = {}
        self.id_of: list = []

    def index(self, external_id: Hashable) -> int:
        """Return the index of an id; a new id gets the next one."""
        index = self.index_of.get(external_id)
        if index is None:
            index = self.index_of[external_id] = len(self.id_of)
            self.id_of.append(external_id)
        return index
