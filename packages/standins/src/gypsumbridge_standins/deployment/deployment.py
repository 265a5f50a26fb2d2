"""A deployment as data."""

import dataclasses

from gypsumbridge_decisions import resources
from gypsumbridge_standins.searchers import searcher_spec


@dataclasses.dataclass(frozen=True)
class Deployment:
    """What operators declare and the searchers behind it."""

    specs: tuple[resources.Spec, ...]
    searchers: tuple[searcher_spec.SearcherSpec, ...]
