"""Declared resources and their validation."""

from gypsumbridge_decisions.resources.endpoint import (
    check_endpoint as check_endpoint,
)
from gypsumbridge_decisions.resources.endpoint import Endpoint as Endpoint
from gypsumbridge_decisions.resources.index_version import (
    IndexVersion as IndexVersion,
)
from gypsumbridge_decisions.resources.kind import Kind as Kind
from gypsumbridge_decisions.resources.last_shards import (
    LastShards as LastShards,
)
from gypsumbridge_decisions.resources.limit import check_limit as check_limit
from gypsumbridge_decisions.resources.limit import Limit as Limit
from gypsumbridge_decisions.resources.rank import check_rank as check_rank
from gypsumbridge_decisions.resources.rank import Rank as Rank
from gypsumbridge_decisions.resources.resource import check_spec as check_spec
from gypsumbridge_decisions.resources.resource import Resource as Resource
from gypsumbridge_decisions.resources.resource import Spec as Spec
from gypsumbridge_decisions.resources.service import (
    check_service as check_service,
)
from gypsumbridge_decisions.resources.service import Service as Service
from gypsumbridge_decisions.resources.spec_types import kind_of as kind_of
from gypsumbridge_decisions.resources.spec_types import spec_type as spec_type
