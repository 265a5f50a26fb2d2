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
        'MAX_MESSAGE_UPDATES',
        'MAX_RECORDED_PAYLOAD_BYTES',
        'MAX_REMEMBERED_MUTATIONS',
        'MAX_RUNNING',
        'NEVER_MS',
        'NO_EXPIRY_MS',
        'REMEMBER_MUTATION_MS',
        'RESOURCES_PATH',
    }
)


def public_names(path: pathlib.Path) -> list[str]:
    """Return the names that a module offers, sorted."""
    names = set()
    for node in ast.parse(path.read_text(encoding='utf-8')).body:
        if isinstance(node, (ast.ClassDef, ast.FunctionDef)):
            names.add(node.name)
            continue
        if not isinstance(node, ast.Assign):
            continue
        for target in node.targets:
            # A type alias belongs to the public face; of the constants only
            # those that other packages need do.
            if not isinstance(target, ast.Name):
                continue
            if not target.id.isupper() or target.id in PUBLIC_CONSTANTS:
                names.add(target.id)
    return sorted(n for n in names if not n.startswith('_'))


def import_line(module: str, name: str) -> str:
    """Return one re-export, wrapped where it is too long."""
    line = f'from {module} import {name} as {name}'
    if len(line) <= MAX_LINE:
        return line
    return f'from {module} import (\n    {name} as {name},\n)'


def main() -> None:
    """Rewrite the `__init__` named on the command line."""
    package, subpackage = sys.argv[1:3]
    root = f'gypsumbridge_{package}'
    folder = pathlib.Path('packages') / package / 'src' / root / subpackage
    init = folder / '__init__.py'
    docstring = ast.get_docstring(ast.parse(init.read_text('utf-8')))
    lines = [f'"""{docstring}"""', '']
    for path in sorted(folder.glob('*.py')):
        if path.name == '__init__.py':
            continue
        module = f'{root}.{subpackage}.{path.stem}'
        if path.stem in public_names(path):
            # Its re-export would hide the module from its siblings.
            raise SystemExit(f'{path}: rename the module or {path.stem}()')
        lines += [import_line(module, n) for n in public_names(path)]
    init.write_text('\n'.join(lines) + '\n', encoding='utf-8')


if __name__ == '__main__':
    main()
