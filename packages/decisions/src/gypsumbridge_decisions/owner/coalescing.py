"""Coalesces part batches that go to the same front."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.owner import command


def coalesce(commands: list[command.Command]) -> list[command.Command]:
    """Merge part batches of the same query attempt into one message."""
    result: list[command.Command] = []
    position: dict[tuple[str, str, int], int] = {}
    for item in commands:
        batch = item.message if isinstance(item, messages.ToPeer) else None
        if not isinstance(batch, messages.PartBatch):
            result.append(item)
            continue
        assert isinstance(item, messages.ToPeer)
        key = (item.node_id, batch.query_id, batch.attempt)
        if key not in position:
            position[key] = len(result)
            result.append(item)
            continue
        earlier = result[position[key]]
        assert isinstance(earlier, messages.ToPeer)
        merged = dataclasses.replace(
            batch,
            parts=earlier.message.parts + batch.parts,
            levels=tuple(dict.fromkeys(earlier.message.levels + batch.levels)),
        )
        result[position[key]] = messages.ToPeer(item.node_id, merged)
    return result
