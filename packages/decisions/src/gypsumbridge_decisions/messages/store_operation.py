"""The operations of the configuration store."""

import enum


class StoreOperation(enum.StrEnum):
    """One call to the configuration store."""

    READ = 'read'
    WRITE = 'write'
    DELETE = 'delete'
    LIST = 'list'
    WATCH = 'watch'
    REVISION = 'revision'
