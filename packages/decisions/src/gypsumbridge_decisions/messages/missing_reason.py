"""Why a shard is missing from an answer."""

import enum


class MissingReason(enum.StrEnum):
    """The reason given in an answer or a part."""

    NONE = ''
    NO_OWNER = 'no_owner'
    NO_ENDPOINT = 'no_endpoint'
    OVERLOAD = 'overload'
    DEADLINE = 'deadline'
    ENDPOINT_FAILED = 'endpoint_failed'
    ENDPOINT_SHED = 'endpoint_shed'
    VERSION_MISMATCH = 'version_mismatch'
    VERSION_GONE = 'version_gone'
    WRONG_SHARD = 'wrong_shard'
    INVALID_REPLY = 'invalid_reply'
    GIVEN_UP_EARLY = 'given_up_early'
    NODE_DRAINING = 'node_draining'
    NODE_SUSPECT = 'node_suspect'
    CONFIGURATION_STALE = 'configuration_stale'
    CANCELLED = 'cancelled'
