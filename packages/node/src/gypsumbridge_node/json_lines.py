"""Log records as JSON lines."""

import datetime
import sys
from typing import Any

import logbook
import msgspec

from gypsumbridge_node import line_writer

_encoder = msgspec.json.Encoder(enc_hook=str)


def format_record(record: logbook.LogRecord, handler: Any) -> str:
    """Return one JSON line; `extra` becomes fields of its own."""
    line = {
        'time': record.time.isoformat(timespec='milliseconds'),
        'level': record.level_name.lower(),
        'logger': record.channel,
        'message': record.message,
    }
    line.update(record.extra)
    if record.exc_info:
        line['exception'] = record.formatted_exception
    return _encoder.encode(line).decode()


def install_handler(level: str) -> logbook.StreamHandler:
    """Send all log records as JSON lines to standard output.

    A slow or stopped reader of the output never blocks the process.
    """
    logbook.set_datetime_format(_utc_now)
    writer = line_writer.make_line_writer(sys.stdout.fileno())
    handler = logbook.StreamHandler(writer, level=level.upper())
    handler.formatter = format_record
    handler.push_application()
    return handler


def _utc_now() -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC)
