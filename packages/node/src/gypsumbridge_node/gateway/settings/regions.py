"""The regions of the failure domains."""

import msgspec


def decode_regions(text: str) -> dict[str, str]:
    """Return the region of each failure domain; raises MsgspecError.

    An empty text and null name no regions.
    """
    if not text:
        return {}
    return msgspec.json.decode(text, type=dict[str, str] | None) or {}
