"""A report of the customers' quotas."""

from collections.abc import Mapping
import dataclasses

from gypsumbridge_decisions.quotas import quota


@dataclasses.dataclass(frozen=True)
class QuotasChanged:
    """The quotas of one version of the configuration, by customer.

    Customers without a limit have a quota of 0 and a burst of 0.
    """

    version: int
    quotas: Mapping[str, quota.Quota]
