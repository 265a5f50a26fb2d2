"""Leaves out modules that a gateway loads but never uses.

A gateway speaks no TLS. `logbook` imports it for its mail handler, `asyncio`,
which Twisted imports, for its own transports, and `hashlib` for faster
digests. Without the TLS libraries a process takes about 5 MB less.
"""

import sys
import types
from typing import Any


def leave_out_tls() -> None:
    """Keep the TLS libraries out of the process.

    Has to be called before `logbook`, `hashlib` and `asyncio` are imported.
    Later imports of `ssl` raise ImportError, which they allow for, and
    `hashlib` uses its built-in digests.
    """
    if 'ssl' in sys.modules or 'hashlib' in sys.modules:
        return
    # Python refuses to import a module whose entry is None.
    loaded: dict[str, Any] = sys.modules
    loaded['_hashlib'] = None
    # logbook requires the module to exist, but not what is in it.
    loaded['ssl'] = types.ModuleType('ssl')
    import logbook  # noqa: F401

    loaded['ssl'] = None
