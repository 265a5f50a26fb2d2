"""Writes the sample declarations in samples/.

Usage: python tools/write_samples.py, with the packages on the path (as in
`make samples`). Addresses are on loopback, with fixed ports.
"""

import pathlib

from gypsumbridge_standins.deployment import build
from gypsumbridge_standins.deployment import declaration_files

ROOT = pathlib.Path(__file__).resolve().parent.parent / 'samples'
SERVICE_MS = 20.0
SAMPLES = {
    'almaty': (build.ALMATY_GROUPS, 20_000),
    'addis': (build.ADDIS_GROUPS, 21_000),
    'small': (build.SMALL_GROUPS, 22_000),
}


def main() -> None:
    """Write the declarations of both registries and of the demo."""
    for name, (groups, first_port) in SAMPLES.items():
        count = build.count_searchers(groups)
        ports = range(first_port, first_port + count)
        deployment = build.build(groups, ports, SERVICE_MS)
        specs = declaration_files.with_limits(deployment.specs)
        declaration_files.write_files(ROOT / name, specs)
        print(f'{name}: {count} searchers, {len(specs)} resources')


if __name__ == '__main__':
    main()
