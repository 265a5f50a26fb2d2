"""What msgspec raises for bytes that do not decode.

Text that is not UTF-8 and nesting that is too deep have their own types.
"""

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
