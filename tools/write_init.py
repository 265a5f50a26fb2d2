"""Rewrites a subpackage's `__init__` so that it re-exports its public names.

Usage: python tools/write_init.py PACKAGE SUBPACKAGE, for example
`python tools/write_init.py decisions resources`. The docstring is kept.
"""

import ast
import pathlib
import sys

MAX_LINE = 79
PUBLIC_CONSTANTS = frozenset(
    {
        'ASSUMED_NODES',
        'BUCKETS',
        'CONFIG_PREFIX',
        'EVACUATED',
        'MAX_DEDUP_MUTATIONS',
        'MAX_MESSAGE_UPDATES',
        'MAX_RECORDED_PAYLOAD_BYTES',
        'MAX_RUNNING',
        'MUTATION_DEDUP_WINDOW_MS',
        'NEVER_MS',
        'NO_EXPIRY_MS',
        'RANK_FLOOR',
        'RESOURCES_PATH',
        'STALE_MS',
    }
)


def public_names(path: pathlib.Path) -> list[str]:
    """Return the public names that a module defines, sorted."""
    names = set()
    for node in ast.parse(path.read_text(encoding='utf-8')).body:
        if isinstance(node, (ast.ClassDef, ast.FunctionDef)):
            names.add(node.name)
            continue
        if not isinstance(node, ast.Assign):
            continue
        for target in node.targets:
            # Type aliases are public; of the constants, only those that
            # other packages use are.
            if not isinstance(target, ast.Name):
                continue
            if not target.id.isupper() or target.id in PUBLIC_CONSTANTS:
                names.add(target.id)
    return sorted(n for n in names if not n.startswith('_'))


def import_line(module: str, name: str) -> str:
    """Return the line of one re-export, wrapped if it is too long."""
    line = f'from {module} import {name} as {name}'
    if len(line) <= MAX_LINE:
        return line
    return f'from {module} import (\n    {name} as {name},\n)'


# Subpackages whose names are imported on first use. They have so many modules
# that importing all of them delays the start of a process that uses a few.
LAZY = frozenset({'messages'})
LAZY_LOADER = """\


if not typing.TYPE_CHECKING:

    def __getattr__(name: str) -> typing.Any:
        module = _MODULES.get(name)
        if module is None:
            raise AttributeError(f'{__name__} has no {name}')
        found = importlib.import_module(f'{__name__}.{module}')
        globals()[name] = getattr(found, name)
        return globals()[name]
"""


def lazy_source(docstring: str, names: list[tuple[str, str, str]]) -> str:
    """Return an `__init__` that imports each module on first use.

    `names` holds the package, module and name of each re-export.
    """
    lines = [f'"""{docstring}"""', '', 'import importlib', 'import typing']
    lines += ['', 'if typing.TYPE_CHECKING:']
    for package, module, name in names:
        text = import_line(f'{package}.{module}', name)
        lines += ['    ' + line for line in text.splitlines()]
    lines += ['', '_MODULES = {']
    lines += [f'    {name!r}: {module!r},' for _, module, name in names]
    return '\n'.join([*lines, '}']) + '\n' + LAZY_LOADER


def main() -> None:
    """Rewrite the `__init__` named on the command line."""
    package, subpackage = sys.argv[1:3]
    root = f'gypsumbridge_{package}'
    folder = pathlib.Path('packages') / package / 'src' / root / subpackage
    init = folder / '__init__.py'
    docstring = ast.get_docstring(ast.parse(init.read_text('utf-8')))
    names: list[tuple[str, str, str]] = []
    lines = [f'"""{docstring}"""', '']
    for path in sorted(folder.glob('*.py')):
        if path.name == '__init__.py':
            continue
        module = f'{root}.{subpackage}.{path.stem}'
        if path.stem in public_names(path):
            # Its re-export would hide the module from its siblings.
            raise SystemExit(f'{path}: rename the module or {path.stem}()')
        lines += [import_line(module, n) for n in public_names(path)]
        package = f'{root}.{subpackage}'
        names += [(package, path.stem, n) for n in public_names(path)]
    source = '\n'.join(lines) + '\n'
    if subpackage in LAZY:
        source = lazy_source(str(docstring), names)
    init.write_text(source, encoding='utf-8')


if __name__ == '__main__':
    main()
