"""The JSON form of a declared resource."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class DeclarationBody:
    """A declaration as operators send it and keep it in files.

    `kind` and `name` may be omitted where the request path has them.
    """

    spec: msgspec.Raw
    kind: str = ''
    name: str = ''
