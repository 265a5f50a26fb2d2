"""Remembers ownership between membership changes."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_decisions.routing import ownership


class OwnershipCache:
    """Ownership by replica set for the present membership."""

    def __init__(self) -> None:
        self.domains: dict[str, tuple[str, ...]] = {}
        self.known: dict[str, ownership.Ownership] = {}

    def replace_members(self, members: tuple[messages.Member, ...]) -> None:
        """Forget every answer when the eligible members changed."""
        domains = ownership.make_domains(members)
        if domains == self.domains:
            return
        self.domains = domains
        self.known = {}

    def find(
        self, service: resources.Service, replica_set: str
    ) -> ownership.Ownership:
        """Return owner and standby of a replica set."""
        key = ownership.owner_group(service, replica_set)
        found = self.known.get(key)
        if found is None:
            found = ownership.find_ownership(self.domains, key)
            self.known[key] = found
        return found
