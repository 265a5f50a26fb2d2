"""What a soak run knows about its requests and faults."""

from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import replay as replays

Request = messages.Query | messages.Mutation


class SoakState:
    """The replay, open requests, and a digest of everything that happened.

    `open` maps ids to (query or mutation, node id, time sent). `asked`
    holds the ids of queries for which some endpoint was asked. `indexes`
    holds the last index version given to each service. `trouble_ms` is
    when each node's last pause, cut or start ended. `troubled` counts the
    faults that hold a node up now. `calls` maps (node id, call id) to the
    request it was sent for. `executed` holds the mutations that ran by
    their ids, `bodies` what ran under each key, `denied` those that were
    called not run. `recorded` maps
    keys to the outcome told first. `accepted` lists (time, revision).
    `swaps` maps (key, expected revision) to the operation that won.
    `declared_leaving` maps endpoints to the revision that says so. `trace`
    keeps the lines of the digest when it is a list.
    """

    def __init__(self, replay: replays.Replay, seed: int) -> None:
        self.replay = replay
        self.seed = seed
        self.open: dict[str, tuple[Request, str, int]] = {}
        self.ended: set[str] = set()
        self.hung_up: set[str] = set()
        self.asked: set[str] = set()
        self.answered = 0
        self.partial = 0
        self.refused = 0
        self.lost_with_node = 0
        self.faults: dict[str, int] = {}
        self.injected: dict[str, int] = {}
        self.indexes: dict[str, int] = {}
        self.sent = 0
        self.sending = True
        self.leaving_since_ms: dict[str, int] = {}
        self.declared_leaving: dict[str, int] = {}
        self.resumed_ms: dict[str, int] = {}
        self.trouble_ms: dict[str, int] = {}
        self.troubled: dict[str, int] = {}
        self.stopping_since_ms: dict[str, int] = {}
        self.stops = 0
        self.mutations: list[messages.Mutation] = []
        self.mutations_answered = 0
        self.mutations_recorded = 0
        self.calls: dict[tuple[str, int], str] = {}
        self.executed: set[str] = set()
        self.executions: dict[str, int] = {}
        self.bodies: dict[str, bytes] = {}
        self.denied: set[str] = set()
        self.recorded: dict[str, tuple[str, bytes]] = {}
        self.published: dict[str, tuple[object, int]] = {}
        self.accepted: list[tuple[int, int]] = []
        self.operations = 0
        self.swaps: dict[tuple[str, int], str] = {}
        self.digest = 0
        self.trace: list[str] | None = None

    def now_ms(self) -> int:
        """Return the present time of the run."""
        return self.replay.scheduler.now_ms()
