"""The state of a soak: its requests, faults and observations."""

from gypsumbridge_decisions import messages
from gypsumbridge_standins.replay import replay as replays

Request = messages.Query | messages.Mutation


class SoakState:
    """The replay, open requests, and a digest of all events.

    `open_requests` maps ids to (query or mutation, node id, time sent).
    `sent_to_endpoints` holds the ids of queries of which a part was sent to
    an endpoint, and `query_by_call` maps (node id, call id) to the request
    that the call is part of. `index_versions` holds the newest index
    version of each service. `disturbances` counts the faults that disturb a
    node now, and `last_disturbed_ms` holds when its last one ended.
    `executed_mutations` and `reported_not_run` hold ids of mutations.
    By key, `execution_counts` holds the number of runs, `executed_bodies`
    the body that ran, and `reported_outcomes` the outcome reported first.
    `accepted` lists (time, revision). `replacements` maps (key, expected
    revision) to the operation that replaced it. `declared_leaving` maps
    endpoints to the revision of that declaration. `trace` collects the
    lines of the digest if it is a list.
    """

    def __init__(self, replay: replays.Replay, seed: int) -> None:
        self.replay = replay
        self.seed = seed
        self.open_requests: dict[str, tuple[Request, str, int]] = {}
        self.ended: set[str] = set()
        self.disconnected: set[str] = set()
        self.sent_to_endpoints: set[str] = set()
        self.answered = 0
        self.partial = 0
        self.refused = 0
        self.lost_with_node = 0
        self.faults: dict[str, int] = {}
        self.injected: dict[str, int] = {}
        self.index_versions: dict[str, int] = {}
        self.sent = 0
        self.sending = True
        self.leaving_since_ms: dict[str, int] = {}
        self.declared_leaving: dict[str, int] = {}
        self.resumed_ms: dict[str, int] = {}
        self.last_disturbed_ms: dict[str, int] = {}
        self.disturbances: dict[str, int] = {}
        self.stopping_since_ms: dict[str, int] = {}
        self.stops = 0
        self.mutations: list[messages.Mutation] = []
        self.mutations_answered = 0
        self.mutations_recorded = 0
        self.query_by_call: dict[tuple[str, int], str] = {}
        self.executed_mutations: set[str] = set()
        self.execution_counts: dict[str, int] = {}
        self.executed_bodies: dict[str, bytes] = {}
        self.reported_not_run: set[str] = set()
        self.reported_outcomes: dict[str, tuple[str, bytes]] = {}
        self.published: dict[str, tuple[object, int]] = {}
        self.accepted: list[tuple[int, int]] = []
        self.operations = 0
        self.replacements: dict[tuple[str, int], str] = {}
        self.digest = 0
        self.trace: list[str] | None = None

    def now_ms(self) -> int:
        """Return the current simulated time."""
        return self.replay.scheduler.now_ms()
