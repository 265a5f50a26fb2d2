"""Exceptions that msgspec raises for bytes that do not decode.

It raises Python's own exceptions for invalid UTF-8 and for deep nesting.
"""

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
