"""Header names and paths of the endpoint protocol."""

SEARCH_PATH = '/v1/shards/{shard}/search'
APPLY_PATH = '/v1/shards/{shard}/apply'
HEALTH_PATH = '/v1/health'

VERSION_HEADER = 'X-Index-Version'
SHARD_HEADER = 'X-Shard'
DEADLINE_HEADER = 'X-Deadline-Ms'
KEY_HEADER = 'Idempotency-Key'
STATE_HEADER = 'X-Endpoint-State'
EXECUTED_HEADER = 'X-Executed'
REASON_HEADER = 'X-Reason'

STATE_SERVING = 'serving'
STATE_LEAVING = 'leaving'
EXECUTED_NO = 'no'
