"""Validation of settings; each check returns a problem or None."""

from collections.abc import Callable
import ipaddress

from gypsumbridge_node.settings import settings as all_settings

# Returns the problem with a value and the remedy, or None.
Check = Callable[[object], tuple[str, str] | None]
# Section, key, value, problem and remedy.
Conflict = tuple[str, str, object, str, str]

MAX_PORT = 65_535
LOG_LEVELS = ('debug', 'info', 'warning', 'error')


def in_range(low: int, high: int) -> Check:
    """Return a check that a number is in a range, with both ends included."""

    def check(value: object) -> tuple[str, str] | None:
        if low <= value <= high:
            return None
        return 'out of range', f'use a number from {low} to {high}'

    return check


def one_of(allowed: tuple[str, ...]) -> Check:
    """Return a check that a value is one of those allowed."""

    def check(value: object) -> tuple[str, str] | None:
        if value in allowed:
            return None
        return 'unknown', f'use one of {", ".join(allowed)}'

    return check


def accept_any(value: object) -> tuple[str, str] | None:
    """Accept every value that has the type of its field."""
    return None


def check_name(value: object) -> tuple[str, str] | None:
    """Check a node id, a failure domain or a prefix of metrics."""
    text = str(value)
    alphanumeric = text.replace('-', '').replace('_', '').replace('.', '')
    if alphanumeric.isascii() and alphanumeric.isalnum() and len(text) <= 128:
        return None
    return (
        'not a name',
        'use 1 to 128 letters, digits, ".", "_" and "-"',
    )


def check_names(value: object) -> tuple[str, str] | None:
    """Check that there are names, and that they are valid and distinct."""
    names = list(value)
    if not names:
        return 'empty', 'list at least one name, separated by commas'
    if len(set(names)) != len(names):
        return 'a name is repeated', 'list each name once'
    for name in names:
        problem = check_name(name)
        if problem is not None:
            return problem
    return None


def check_address(value: object) -> tuple[str, str] | None:
    """Check `ip:port`."""
    remedy = (
        f'use ip:port with an IPv4 address and a port from 1 to {MAX_PORT}'
    )
    host, colon, port = str(value).rpartition(':')
    if not colon:
        return 'not ip:port', remedy
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return 'the host is not an IPv4 address', remedy
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT):
        return 'the port is not valid', remedy
    return None


def check_optional_address(value: object) -> tuple[str, str] | None:
    """Check `ip:port`, which may be empty."""
    return check_address(value) if value else None


VALUE_CHECKS: dict[tuple[str, str], Check] = {
    ('node', 'node_id'): check_name,
    ('node', 'failure_domain'): check_name,
    ('node', 'failure_domains'): check_names,
    ('node', 'peer_address'): check_address,
    ('node', 'http_address'): check_address,
    ('store', 'address'): check_address,
    ('store', 'timeout_ms'): in_range(10, 60_000),
    ('host_list', 'address'): check_address,
    ('host_list', 'interval_ms'): in_range(10, 600_000),
    ('timing', 'owner_silence_ms'): in_range(2, 60_000),
    ('timing', 'balancer_lag_ms'): in_range(0, 600_000),
    ('timing', 'stop_bound_ms'): in_range(1, 3_600_000),
    ('limits', 'max_body_bytes'): in_range(1_024, 67_108_864),
    ('limits', 'max_deadline_ms'): in_range(1, 3_600_000),
    ('mutation', 'clock_skew_ms'): in_range(0, 3_600_000),
    ('mutation', 'max_key_lifetime_ms'): in_range(1_000, 366 * 86_400_000),
    ('log', 'level'): one_of(LOG_LEVELS),
    ('log', 'decision_lines_per_second'): in_range(0, 1_000_000),
    ('metrics', 'statsd_address'): check_optional_address,
    ('metrics', 'prefix'): check_name,
}


def check_conflicts(settings: all_settings.Settings) -> list[Conflict]:
    """Return the values that are valid on their own but conflict with others.

    Values that are invalid on their own are None here and are skipped.
    """
    return [
        *_check_domain(settings),
        *_check_addresses(settings),
        *_check_times(settings),
    ]


def _check_domain(settings: all_settings.Settings) -> list[Conflict]:
    own = settings.node.failure_domain
    domains = settings.node.failure_domains
    if not own or not domains or own in domains:
        return []
    remedy = f'use one of {", ".join(domains)}, or add it there'
    problem = 'not in failure_domains'
    return [('node', 'failure_domain', own, problem, remedy)]


def _check_addresses(settings: all_settings.Settings) -> list[Conflict]:
    conflicts: list[Conflict] = []
    used: dict[str, str] = {}
    for section, key, value in (
        ('node', 'peer_address', settings.node.peer_address),
        ('node', 'http_address', settings.node.http_address),
        ('store', 'address', settings.store.address),
        ('host_list', 'address', settings.host_list.address),
    ):
        if not value:
            continue
        if value in used:
            problem = f'the same as {used[value]}'
            remedy = 'give each of them an address of its own'
            conflicts.append((section, key, value, problem, remedy))
        used[value] = f'[{section}] {key}'
    return conflicts


def _check_times(settings: all_settings.Settings) -> list[Conflict]:
    lag_ms = settings.timing.balancer_lag_ms
    bound_ms = settings.timing.stop_bound_ms
    if lag_ms is None or bound_ms is None or lag_ms < bound_ms:
        return []
    problem = f'not below stop_bound_ms = {bound_ms}'
    remedy = 'lower it or raise stop_bound_ms'
    return [('timing', 'balancer_lag_ms', lag_ms, problem, remedy)]
