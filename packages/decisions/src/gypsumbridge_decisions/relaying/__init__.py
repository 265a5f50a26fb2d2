"""Decisions that pass the store's changes from node to node."""

from gypsumbridge_decisions.relaying.answer_poll import (
    AnswerPoll as AnswerPoll,
)
from gypsumbridge_decisions.relaying.barring import bar as bar
from gypsumbridge_decisions.relaying.barring import bar_store as bar_store
from gypsumbridge_decisions.relaying.barring import clear as clear
from gypsumbridge_decisions.relaying.barring import clear_store as clear_store
from gypsumbridge_decisions.relaying.barring import set_aside as set_aside
from gypsumbridge_decisions.relaying.news_source import (
    NewsSource as NewsSource,
)
from gypsumbridge_decisions.relaying.news_status import (
    NewsStatus as NewsStatus,
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
from gypsumbridge_decisions.relaying.poll_gone import PollGone as PollGone
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
from gypsumbridge_decisions.relaying.serving import Served as Served
from gypsumbridge_decisions.relaying.store_record import (
    StoreRecord as StoreRecord,
)
from gypsumbridge_decisions.relaying.watch_peer import WatchPeer as WatchPeer
