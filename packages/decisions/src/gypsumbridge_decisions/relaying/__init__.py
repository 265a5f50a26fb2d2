"""Decisions about relaying store updates between nodes."""

from gypsumbridge_decisions.relaying.answer_poll import (
    AnswerPoll as AnswerPoll,
)
from gypsumbridge_decisions.relaying.exclusion import (
    exclude_failed_peer as exclude_failed_peer,
)
from gypsumbridge_decisions.relaying.exclusion import (
    exclude_outdated_peer as exclude_outdated_peer,
)
from gypsumbridge_decisions.relaying.exclusion import (
    exclude_peer_behind as exclude_peer_behind,
)
from gypsumbridge_decisions.relaying.exclusion import (
    exclude_store as exclude_store,
)
from gypsumbridge_decisions.relaying.exclusion import (
    readmit_peer as readmit_peer,
)
from gypsumbridge_decisions.relaying.exclusion import (
    readmit_store as readmit_store,
)
from gypsumbridge_decisions.relaying.peer_answered import (
    PeerAnswered as PeerAnswered,
)
from gypsumbridge_decisions.relaying.peer_failed import (
    PeerFailed as PeerFailed,
)
from gypsumbridge_decisions.relaying.peer_node import PeerNode as PeerNode
from gypsumbridge_decisions.relaying.poll_arrived import (
    PollArrived as PollArrived,
)
from gypsumbridge_decisions.relaying.poll_closed import (
    PollClosed as PollClosed,
)
from gypsumbridge_decisions.relaying.poll_timer import PollTimer as PollTimer
from gypsumbridge_decisions.relaying.ranking import candidates as candidates
from gypsumbridge_decisions.relaying.ranking import (
    choose_source as choose_source,
)
from gypsumbridge_decisions.relaying.ranking import is_relayed as is_relayed
from gypsumbridge_decisions.relaying.ranking import peers_ahead as peers_ahead
from gypsumbridge_decisions.relaying.ranking import STALE_MS as STALE_MS
from gypsumbridge_decisions.relaying.record_log import RecordLog as RecordLog
from gypsumbridge_decisions.relaying.relay_state import (
    make_relay_state as make_relay_state,
)
from gypsumbridge_decisions.relaying.relay_state import (
    RelayState as RelayState,
)
from gypsumbridge_decisions.relaying.relayed_updates import (
    RelayedUpdates as RelayedUpdates,
)
from gypsumbridge_decisions.relaying.serving import answer as answer
from gypsumbridge_decisions.relaying.serving import (
    answer_waiting as answer_waiting,
)
from gypsumbridge_decisions.relaying.serving import expire as expire
from gypsumbridge_decisions.relaying.serving import receive as receive
from gypsumbridge_decisions.relaying.serving import (
    ServingCommand as ServingCommand,
)
from gypsumbridge_decisions.relaying.store_record import (
    StoreRecord as StoreRecord,
)
from gypsumbridge_decisions.relaying.update_source import (
    UpdateSource as UpdateSource,
)
from gypsumbridge_decisions.relaying.update_status import (
    UpdateStatus as UpdateStatus,
)
from gypsumbridge_decisions.relaying.watch_peer import WatchPeer as WatchPeer
