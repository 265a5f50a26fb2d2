"""Loads the settings file and reports all of its problems at once."""

from collections.abc import Callable
from collections.abc import Mapping
import configparser
import dataclasses
import pathlib
from typing import Any
from typing import TypeVar

import msgspec

from gypsumbridge_decisions import errors
from gypsumbridge_node.settings import checks
from gypsumbridge_node.settings import settings

T = TypeVar('T')
ValueChecks = Mapping[tuple[str, str], checks.Check]


def load_settings(path: pathlib.Path) -> settings.Settings:
    """Return the settings of a node; see `load_sections`."""
    return load_sections(
        path, settings.Settings, checks.VALUE_CHECKS, checks.check_conflicts
    )


def load_sections(
    path: pathlib.Path,
    settings_type: type[T],
    value_checks: ValueChecks,
    check_conflicts: Callable[[T], list[checks.Conflict]],
) -> T:
    """Return the settings in an INI file.

    `settings_type` is a data class with a field for each section, whose
    type is a data class with a field for each key. Raises SettingsError
    with one line per problem: file, section, key, value and remedy.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise errors.SettingsError(
            f'{path} cannot be read: {error}; give a readable INI file',
            'correct the settings and start again',
        ) from error
    problems = _unknown_sections(path, parser, settings_type)
    sections = {}
    for field in dataclasses.fields(settings_type):
        values = {}
        if parser.has_section(field.name):
            values = dict(parser[field.name])
        sections[field.name] = _load_section(
            path, field.name, field.type, values, problems, value_checks
        )
    loaded = settings_type(**sections)
    for section, key, value, problem, remedy in check_conflicts(loaded):
        problems.append(
            _format_line(path, section, key, value, problem, remedy)
        )
    if problems:
        raise errors.SettingsError(
            '\n'.join(problems), 'correct the settings and start again'
        )
    return loaded


def _format_line(
    path: pathlib.Path,
    section: str,
    key: str,
    value: object,
    problem: str,
    remedy: str,
) -> str:
    text = ', '.join(value) if isinstance(value, tuple) else value
    return f'{path}: [{section}] {key} = {text}: {problem}; {remedy}'


def _unknown_sections(
    path: pathlib.Path,
    parser: configparser.ConfigParser,
    settings_type: type[Any],
) -> list[str]:
    known = {field.name for field in dataclasses.fields(settings_type)}
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
    value_checks: ValueChecks,
) -> Any:
    """Return the section, in which each invalid value is None."""
    fields = {field.name: field for field in dataclasses.fields(section_type)}
    for key in values.keys() - fields.keys():
        problems.append(
            f'{path}: [{section}] {key} = {values[key]}: unknown; use one of'
            f' {sorted(fields)}'
        )
    converted: dict[str, Any] = {}
    for name, field in fields.items():
        converted[name] = None
        given = name in values
        if given and not values[name] and _has_default_number(field):
            # A template leaves a value empty that its platform does not know.
            given = False
        if given:
            problem = _read_value(
                section, field, values[name], converted, value_checks
            )
            if problem is not None:
                problems.append(
                    _format_line(path, section, name, values[name], *problem)
                )
            continue
        if field.default is dataclasses.MISSING:
            problems.append(f'{path}: [{section}] {name} is missing; set it')
            continue
        converted[name] = field.default
    return section_type(**converted)


def _has_default_number(field: dataclasses.Field[Any]) -> bool:
    return isinstance(field.default, int | float)


def _read_value(
    section: str,
    field: dataclasses.Field[Any],
    text: str,
    converted: dict[str, Any],
    value_checks: ValueChecks,
) -> tuple[str, str] | None:
    try:
        value = _convert(text, field.type)
    except msgspec.ValidationError as error:
        return str(error), 'give a value of that type'
    problem = value_checks[(section, field.name)](value)
    if problem is None:
        converted[field.name] = value
    return problem


def _convert(value: str, kind: Any) -> Any:
    if kind == tuple[str, ...]:
        return tuple(part.strip() for part in value.split(',') if part.strip())
    return msgspec.convert(value, kind, strict=False)
