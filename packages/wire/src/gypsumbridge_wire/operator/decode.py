"""Decodes the requests of operators."""

import dataclasses
from typing import Any
import urllib.parse

import msgspec

from gypsumbridge_decisions import declaration
from gypsumbridge_decisions import errors
from gypsumbridge_decisions import resources
from gypsumbridge_wire import decode_errors
from gypsumbridge_wire.operator import declaration_body

RESOURCES_PATH = '/v1/resources'
_decoder = msgspec.json.Decoder(declaration_body.DeclarationBody)


def decode_path(path: str) -> tuple[resources.Kind | None, str]:
    """Return the kind and name in a path, which may both be missing.

    A missing kind is None and a missing name is empty.
    """
    rest = path.removeprefix(RESOURCES_PATH).strip('/')
    if not rest:
        return None, ''
    kind, _, name = rest.partition('/')
    name = urllib.parse.unquote(name)
    if name:
        declaration.check_name(name)
    return decode_kind(kind), name


def decode_kind(kind: str) -> resources.Kind:
    """Return the kind; NotFoundError for an unknown one."""
    if kind in list(resources.Kind):
        return resources.Kind(kind)
    raise errors.NotFoundError(
        f'there is no kind {kind[:128]!r}',
        f'use one of {[str(known) for known in resources.Kind]}',
    )


def decode_spec(
    kind: resources.Kind, name: str, body: bytes
) -> resources.Spec:
    """Return the validated spec in the body of a write.

    Raises DeclarationError unless the body is a valid declaration of that
    kind and name.
    """
    try:
        decoded = _decoder.decode(body)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.DeclarationError(
            f'the body is not valid: {error}',
            'send a JSON object with spec and, optionally, kind and name',
        ) from error
    for field, given, expected in (
        ('kind', decoded.kind, kind),
        ('name', decoded.name, name),
    ):
        if given and given != expected:
            raise errors.DeclarationError(
                f'{field} is {given[:128]!r}, but the path has {expected}',
                f'omit {field} or make it equal to the path',
            )
    return _convert_spec(kind, name, decoded.spec)


def decode_declaration(body: bytes) -> resources.Spec:
    """Return the validated spec of a declaration with kind and name."""
    try:
        decoded = _decoder.decode(body)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.DeclarationError(
            f'not a declaration: {error}',
            'write an object with kind, name and spec',
        ) from error
    declaration.check_name(decoded.name)
    try:
        kind = decode_kind(decoded.kind)
    except errors.NotFoundError as error:
        raise errors.DeclarationError(error.message, error.remedy) from error
    return _convert_spec(kind, decoded.name, decoded.spec)


def decode_expected_revision(if_match: str, if_none_match: str) -> int:
    """Return the revision that a write replaces, 0 for a creation.

    Raises RequestError without a valid precondition.
    """
    if if_none_match == '*' and not if_match:
        return 0
    text = if_match.strip().strip('"')
    if text.isascii() and text.isdigit() and len(text) < 19:
        return int(text)
    raise errors.RequestError(
        f'If-Match is {if_match[:128]!r}',
        'send "If-Match: <revision>" with the revision that you have read,'
        ' or "If-None-Match: *" to create',
    )


def _convert_spec(
    kind: resources.Kind, name: str, raw: msgspec.Raw
) -> resources.Spec:
    spec_type = resources.spec_type(kind)
    try:
        values = msgspec.json.decode(raw, type=dict[str, Any])
        _check_fields(kind, values, spec_type)
        if values.setdefault('name', name) != name:
            raise errors.DeclarationError(
                f'{kind} {name}: spec.name is {values["name"]!r}',
                'omit it or make it equal to the name',
            )
        for version in values.get('versions', ()):
            _check_fields(kind, version, resources.IndexVersion)
        spec = msgspec.convert(values, spec_type)
    except (*decode_errors.DECODE_ERRORS, TypeError) as error:
        raise errors.DeclarationError(
            f'{kind} {name}: {error}',
            f'the fields are {_field_names(spec_type)}',
        ) from error
    resources.check_spec(spec)
    return spec


def _check_fields(
    kind: resources.Kind, values: dict[str, Any], spec_type: type
) -> None:
    known = _field_names(spec_type)
    unknown = sorted(set(values) - set(known))
    if unknown:
        raise errors.DeclarationError(
            f'{kind}: the fields {unknown} are unknown', f'use {known}'
        )


def _field_names(spec_type: type) -> list[str]:
    return [field.name for field in dataclasses.fields(spec_type)]
