"""What the configuration store can be asked for."""

import enum


class StoreOperation(enum.StrEnum):
    """One call to the configuration store."""

    READ = 'read'
    WRITE = 'write'
    DELETE = 'delete'
    LIST = 'list'
    WATCH = 'watch'
    REVISION = 'revision'
