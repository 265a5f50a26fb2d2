"""The customers of one version of the configuration."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from gypsumbridge_decisions.forwarding import customer
from gypsumbridge_decisions.forwarding import key_digest
from gypsumbridge_decisions.forwarding import skipped_keys


@dataclasses.dataclass(frozen=True)
class CustomerTable:
    """Customers by name, and the customer's name of each key.

    Keys are kept as SHA-256 digests, so that neither logs nor messages
    between tasks can disclose them. `skipped` describes the keys that
    identify no customer.
    """

    customers: Mapping[str, customer.Customer]
    names_by_digest: Mapping[bytes, str] = dataclasses.field(repr=False)
    skipped: tuple[skipped_keys.SkippedKeys, ...] = ()

    def find(self, digest: bytes) -> customer.Customer | None:
        """Return the customer that has a key, or None."""
        name = self.names_by_digest.get(digest)
        return None if name is None else self.customers[name]


def make_customer_table(
    customers: Iterable[customer.Customer],
    keys: Iterable[tuple[str, str]],
) -> CustomerTable:
    """Return the table of customers and of (customer's name, key) pairs.

    A key that several customers have identifies none of them.
    """
    names_by_digest: dict[bytes, set[str]] = {}
    skipped: collections.Counter[tuple[tuple[str, ...], str]]
    skipped = collections.Counter()
    for name, key in keys:
        digest = key_digest.digest_keys((key,))
        if len(digest) != key_digest.DIGEST_BYTES:
            skipped[(name,), 'unusable'] += 1
            continue
        names_by_digest.setdefault(digest, set()).add(name)
    found: dict[bytes, str] = {}
    for digest, names in names_by_digest.items():
        if len(names) > 1:
            skipped[tuple(sorted(names)), 'listed_twice'] += 1
            continue
        found[digest] = names.pop()
    return CustomerTable(
        {item.name: item for item in customers},
        found,
        tuple(
            skipped_keys.SkippedKeys(names, reason, count)
            for (names, reason), count in skipped.items()
        ),
    )
