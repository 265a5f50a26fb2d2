"""The JSON value of a resource."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class StoredResource:
    """What the store keeps of a resource."""

    generation: int
    operation_id: str
    spec: msgspec.Raw
