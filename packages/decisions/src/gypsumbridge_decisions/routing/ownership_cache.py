"""Caches ownership until the membership changes."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_decisions.routing import ownership


class OwnershipCache:
    """Ownership under the current membership, cached by owner group."""

    def __init__(self) -> None:
        self.domains: dict[str, tuple[str, ...]] = {}
        self.cached: dict[str, ownership.Ownership] = {}

    def replace_members(self, members: tuple[messages.Member, ...]) -> None:
        """Clear the cache if the eligible members have changed."""
        domains = ownership.make_domains(members)
        if domains == self.domains:
            return
        self.domains = domains
        self.cached = {}

    def find(
        self, service: resources.Service, replica_set: str
    ) -> ownership.Ownership:
        """Return owner and standby of a replica set."""
        key = ownership.owner_group(service, replica_set)
        found = self.cached.get(key)
        if found is None:
            found = ownership.find_ownership(self.domains, key)
            self.cached[key] = found
        return found
