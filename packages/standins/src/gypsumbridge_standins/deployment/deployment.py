"""The declarations and searchers of a deployment."""

import dataclasses

from gypsumbridge_decisions import resources
from gypsumbridge_standins.searchers import searcher_spec


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Declared resources, and the searchers that serve them."""

    specs: tuple[resources.Spec, ...]
    searchers: tuple[searcher_spec.SearcherSpec, ...]
