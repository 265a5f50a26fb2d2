"""A new catalog of the declared resources."""

import dataclasses

from gypsumbridge_decisions.catalog import catalog


@dataclasses.dataclass(frozen=True)
class CatalogChanged:
    """Carries the catalog that is now in force on this node."""

    catalog: catalog.Catalog
