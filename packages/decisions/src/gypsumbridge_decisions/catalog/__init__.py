"""The declared resources in force, indexed for the lookups of tasks."""

from gypsumbridge_decisions.catalog.catalog import Catalog as Catalog
from gypsumbridge_decisions.catalog.catalog import (
    empty_catalog as empty_catalog,
)
from gypsumbridge_decisions.catalog.catalog import make_catalog as make_catalog
from gypsumbridge_decisions.catalog.catalog import (
    update_catalog as update_catalog,
)
