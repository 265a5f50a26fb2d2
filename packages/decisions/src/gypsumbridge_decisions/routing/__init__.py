"""Assigns each replica set to an owner node and a standby."""

from gypsumbridge_decisions.routing.ownership import (
    find_ownership as find_ownership,
)
from gypsumbridge_decisions.routing.ownership import (
    make_domains as make_domains,
)
from gypsumbridge_decisions.routing.ownership import owner_group as owner_group
from gypsumbridge_decisions.routing.ownership import Ownership as Ownership
from gypsumbridge_decisions.routing.ownership_cache import (
    OwnershipCache as OwnershipCache,
)
from gypsumbridge_decisions.routing.rendezvous import ordered as ordered
from gypsumbridge_decisions.routing.rendezvous import weight as weight
from gypsumbridge_decisions.routing.rendezvous import (
    weighted_score as weighted_score,
)
