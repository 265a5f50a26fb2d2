"""What a soak run knows about its queries and faults."""

from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import replay as replays


class SoakState:
    """The replay, open queries, and a digest of everything that happened.

    `open` maps query ids to (query, node id, time sent). `asked` holds the
    ids of queries for which some endpoint was asked. `index` is the number
    of the current index version. `resumed_ms` is when each node last went
    on after a pause.
    """

    def __init__(self, replay: replays.Replay, seed: int) -> None:
        self.replay = replay
        self.seed = seed
        self.open: dict[str, tuple[messages.Query, str, int]] = {}
        self.ended: set[str] = set()
        self.hung_up: set[str] = set()
        self.asked: set[str] = set()
        self.answered = 0
        self.partial = 0
        self.refused = 0
        self.lost_with_node = 0
        self.faults: dict[str, int] = {}
        self.index = 1
        self.revision = 1
        self.sent = 0
        self.sending = True
        self.leaving_since_ms: dict[str, int] = {}
        self.resumed_ms: dict[str, int] = {}
        self.digest = 0
