"""Writes a deployment as declaration files for `gypsumctl apply`."""

from collections.abc import Iterable
import json
import pathlib

import msgspec

from gypsumbridge_decisions import resources

# The least urgent rank may use at most half of the slots of a replica set, so
# that a slot soon becomes free for urgent queries.
LIMITED_RANK = 'archive'
MAX_SLOT_SHARE = 0.5


def with_limits(
    specs: Iterable[resources.Spec],
) -> tuple[resources.Spec, ...]:
    """Return the specs with a limit of the least urgent rank added for each
    service.
    """
    result = list(specs)
    for spec in list(result):
        if not isinstance(spec, resources.Service):
            continue
        result.append(
            resources.Limit(
                f'{spec.name}-{LIMITED_RANK}',
                spec.name,
                LIMITED_RANK,
                max_slot_share=MAX_SLOT_SHARE,
            )
        )
    return tuple(result)


def write_files(
    directory: pathlib.Path, specs: Iterable[resources.Spec]
) -> None:
    """Write one JSON file for each kind of resource."""
    directory.mkdir(parents=True, exist_ok=True)
    by_kind: dict[resources.Kind, list[object]] = {}
    for spec in specs:
        kind = resources.kind_of(spec)
        fields = json.loads(msgspec.json.encode(spec))
        name = fields.pop('name')
        by_kind.setdefault(kind, []).append(
            {'kind': kind, 'name': name, 'spec': fields}
        )
    for kind, items in by_kind.items():
        content = json.dumps(items, indent=2) + '\n'
        (directory / f'{kind}.json').write_text(content, encoding='utf-8')
