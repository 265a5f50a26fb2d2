"""The JSON form of a declared resource."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class DeclarationBody:
    """What operators send and keep in files.

    `kind` and `name` may be left out where the path names them.
    """

    spec: msgspec.Raw
    kind: str = ''
    name: str = ''
