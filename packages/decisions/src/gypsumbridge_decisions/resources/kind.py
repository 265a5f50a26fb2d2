"""The kinds of declared resources."""

import enum


class Kind(enum.StrEnum):
    """A kind of declared resource; the value is used in keys and paths."""

    SERVICE = 'services'
    ENDPOINT = 'endpoints'
    RANK = 'ranks'
    LIMIT = 'limits'
