"""The customers of one version of the configuration."""

from collections.abc import Mapping
import dataclasses

from gypsumbridge_decisions.forwarding import customer


@dataclasses.dataclass(frozen=True)
class CustomerTable:
    """Customers by name, and the customer's name of each key.

    Keys are kept as SHA-256 digests, so that neither logs nor messages
    between tasks can disclose them.
    """

    customers: Mapping[str, customer.Customer]
    names_by_digest: Mapping[bytes, str]
