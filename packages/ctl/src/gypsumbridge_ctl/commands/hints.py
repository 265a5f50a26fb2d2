"""What the reasons of refusals mean to an operator."""

from collections.abc import Mapping
from typing import Any

# For reasons of `request_rejected` and `request_refused`.
_HINTS = {
    'unknown_key': (
        'status 401: no customer of this version has the key, or the request'
        ' has none and the route is not public'
    ),
    'maybe_unknown_key': (
        'status 503: the node may be behind this version, so another node may'
        ' know the key'
    ),
    'maybe_unknown_route': (
        'status 503: the node may be behind this version, so another node may'
        ' know the route'
    ),
    'evacuated': (
        'status 503: all searchers of these services that the homes allow are'
        ' in failure domains under evacuation'
    ),
    'outside_homes': (
        'status 503: no searcher of these services is in a home region of the'
        ' route and the customer'
    ),
    'over_quota': (
        "status 429: the holders of all partitions of the customer's quota"
        ' have stated that it has no room'
    ),
    'quota_unknown': (
        "status 503: not all holders could tell whether the customer's quota"
        ' has room; `quota_refused` has the cause'
    ),
}


def hint_for(record: Mapping[str, Any]) -> str:
    """Return an explanation of a log record's reason, or an empty text."""
    reason = record.get('reason')
    return _HINTS.get(reason, '') if isinstance(reason, str) else ''
