"""Builds the operator's configuration."""

from collections.abc import Iterable
from typing import Any

import msgspec

from gypsumbridge_platform import backend_body
from gypsumbridge_platform import config_body
from gypsumbridge_platform import customer_body
from gypsumbridge_platform import limits_body
from gypsumbridge_platform import route_body

HOST = 'a.example'
MAX_CONNECTIONS = 200
MAX_ATTEMPTS = 2
LIMITS = limits_body.LimitsBody(
    max_header_bytes=16_384,
    max_body_bytes=262_144,
    header_timeout_ms=10_000,
    idle_timeout_ms=60_000,
)


def make_config(
    version: int,
    services: Iterable[str],
    routes: Iterable[route_body.RouteBody],
    customers: Iterable[customer_body.CustomerBody] | None = None,
) -> dict[str, Any]:
    """Return a configuration as the operator writes it.

    Without `customers`, no request needs a key.
    """
    body = config_body.ConfigBody(
        version,
        list(routes),
        [backend_body.BackendBody(name, MAX_CONNECTIONS) for name in services],
        LIMITS,
        msgspec.UNSET if customers is None else list(customers),
    )
    return msgspec.to_builtins(body)


def make_route(
    prefix: str,
    service: str,
    timeout_ms: int,
    target_latency_ms: int,
    idempotent: bool = True,
    public: bool = False,
) -> route_body.RouteBody:
    """Return a route to one service."""
    return route_body.RouteBody(
        name=f'r{prefix}',
        hostname=HOST,
        prefix=prefix,
        route_type='safe' if idempotent else 'unsafe',
        timeout_ms=timeout_ms,
        target_latency_ms=target_latency_ms,
        max_attempts=MAX_ATTEMPTS,
        backend=service,
        public=public,
    )


def make_gather_route(
    prefix: str,
    services: Iterable[str],
    timeout_ms: int,
    target_latency_ms: int,
    top_k: int,
    min_coverage: float,
) -> route_body.RouteBody:
    """Return a route that merges the parts of several services."""
    return msgspec.structs.replace(
        make_route(prefix, '', timeout_ms, target_latency_ms),
        backend=None,
        gather=list(services),
        top_k=top_k,
        min_coverage=min_coverage,
    )
