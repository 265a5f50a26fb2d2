"""Records of the store that cannot be used."""

from gypsumbridge_decisions import messages
from gypsumbridge_decisions import relaying
from gypsumbridge_decisions.discovery import command


def skip_record(
    record: relaying.StoreRecord, error: str
) -> list[command.Command]:
    """Log and count a record that is ignored."""
    return [
        messages.Decision(
            'store_record_skipped',
            error,
            {'key': record.key, 'revision': record.revision},
        ),
        messages.Count('discovery.records_skipped'),
    ]
