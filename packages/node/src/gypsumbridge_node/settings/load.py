"""Reads the settings file and reports everything wrong with it at once."""

import configparser
import dataclasses
import pathlib
from typing import Any

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_node.settings import settings


def load_settings(path: pathlib.Path) -> settings.Settings:
    """Return the settings in an INI file.

    Raises SettingsError with one line a problem: file, section, key,
    value and remedy.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise errors.SettingsError(
            f'{path} cannot be read: {error}', 'give a readable INI file'
        ) from error
    problems = _unknown_sections(path, parser)
    sections = {}
    for field in dataclasses.fields(settings.Settings):
        values = {}
        if parser.has_section(field.name):
            values = dict(parser[field.name])
        sections[field.name] = _load_section(
            path, field.name, field.type, values, problems
        )
    if problems:
        raise errors.SettingsError(
            '\n'.join(problems), 'correct the settings and start again'
        )
    return settings.Settings(**sections)


def _unknown_sections(
    path: pathlib.Path, parser: configparser.ConfigParser
) -> list[str]:
    known = {field.name for field in dataclasses.fields(settings.Settings)}
    return [
        f'{path}: [{name}] is not a section; use one of {sorted(known)}'
        for name in parser.sections()
        if name not in known
    ]


def _load_section(
    path: pathlib.Path,
    section: str,
    section_type: Any,
    values: dict[str, str],
    problems: list[str],
) -> Any:
    fields = {field.name: field for field in dataclasses.fields(section_type)}
    converted: dict[str, Any] = {}
    for key, value in values.items():
        field = fields.get(key)
        if field is None:
            problems.append(
                f'{path}: [{section}] {key} is unknown; use one of'
                f' {sorted(fields)}'
            )
            continue
        try:
            converted[key] = _convert(value, field.type)
        except msgspec.ValidationError as error:
            problems.append(
                f'{path}: [{section}] {key} = {value}: {error}; give a value'
                ' of that type'
            )
    for name, field in fields.items():
        if name in values or field.default is not dataclasses.MISSING:
            continue
        problems.append(f'{path}: [{section}] {name} is missing; set it')
    try:
        return section_type(**converted)
    except TypeError:
        return None


def _convert(value: str, kind: Any) -> Any:
    if kind == tuple[str, ...]:
        return tuple(part.strip() for part in value.split(',') if part.strip())
    return msgspec.convert(value, kind, strict=False)
