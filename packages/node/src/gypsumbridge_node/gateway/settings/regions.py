"""The regions of the failure domains."""

import msgspec


def decode_regions(text: str) -> dict[str, str]:
    """Return the region of each failure domain; raises MsgspecError.

    An empty text names no regions.
    """
    return msgspec.json.decode(text, type=dict[str, str]) if text else {}
