"""Prints results as text or as JSON lines."""

import json
from typing import Any


def show(as_json: bool, body: Any, text: str) -> None:
    """Print the body as a line of JSON, or the text."""
    print(json.dumps(body) if as_json else text, flush=True)


def describe(item: dict[str, Any]) -> str:
    """Return a one-line summary of a resource."""
    line = (
        f'{item["kind"]} {item["name"]}: generation {item["generation"]},'
        f' revision {item["revision"]}'
    )
    if item['spec'] is None:
        line += ', deleted'
    status = item.get('status')
    if status is None:
        return line
    if status['in_force']:
        return f'{line}, in force on {status["live_nodes"]} nodes'
    return (
        f'{line}, not in force, {status["lagging_nodes"]} of'
        f' {status["live_nodes"]} nodes lag'
    )
