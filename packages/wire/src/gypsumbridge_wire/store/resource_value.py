"""Declared resources as values of the configuration store."""

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_decisions import messages
from gypsumbridge_decisions import resources
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire.store import stored_resource

CONFIG_PREFIX = 'config/'

_decoder = msgspec.json.Decoder(stored_resource.StoredResource)


def encode_key(kind: resources.Kind, name: str) -> str:
    """Return the key of a resource."""
    return f'{CONFIG_PREFIX}{kind}/{name}'


def encode_value(resource: resources.Resource) -> str:
    """Return the value of a resource, without its revision."""
    stored = stored_resource.StoredResource(
        generation=resource.generation,
        operation_id=resource.operation_id,
        spec=msgspec.Raw(msgspec.json.encode(resource.spec)),
    )
    return msgspec.json.encode(stored).decode()


def decode_item(item: messages.StoreItem) -> resources.Resource:
    """Return the resource in an item; FrameError if it does not decode."""
    kind, name = decode_key(item.key)
    if item.value is None:
        return resources.Resource(kind, name, 0, item.revision, '', None)
    try:
        stored = _decoder.decode(item.value)
        spec = msgspec.json.decode(stored.spec, type=resources.spec_type(kind))
    except decode_errors.DECODE_ERRORS as error:
        raise errors.FrameError(
            f'the value of {item.key} does not decode: {error}',
            'write the resource again with gypsumctl apply',
        ) from error
    return resources.Resource(
        kind,
        name,
        stored.generation,
        item.revision,
        stored.operation_id,
        spec,
    )


def decode_key(key: str) -> tuple[resources.Kind, str]:
    """Return kind and name; FrameError unless it is a resource's key."""
    parts = key.removeprefix(CONFIG_PREFIX).split('/', 1)
    if key.startswith(CONFIG_PREFIX) and len(parts) == 2:
        if parts[0] in list(resources.Kind):
            return resources.Kind(parts[0]), parts[1]
    raise errors.FrameError(
        f'the store has the key {key!r}, which is not the key of a resource',
        f'delete it; keys are {CONFIG_PREFIX}<kind>/<name>',
    )
