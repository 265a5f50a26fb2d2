"""The JSON value of a resource."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class StoredResource:
    """The fields of a resource that are part of its value."""

    generation: int
    operation_id: str
    spec: msgspec.Raw
