"""Intervals and limits of the membership protocol."""

PROBE_INTERVAL_MS = 500
# Time for a direct acknowledgement before indirect probes are requested. Round
# trips take a few milliseconds, and less than 200 ms even between regions.
DIRECT_TIMEOUT_MS = 200
INDIRECT_PROBES = 3
# Suspicion lasts this many intervals for each factor of ten in fleet size,
# since dissemination time grows with the logarithm of the size.
SUSPICION_INTERVALS = 4
# The shortest suspicion timeout. A node that was unresponsive for less cannot
# have been declared dead, so a shorter gap causes no self-suspicion.
FROZEN_GAP_MS = SUSPICION_INTERVALS * PROBE_INTERVAL_MS
# The number of times that an update is sent is this factor times the binary
# logarithm of the fleet size.
RETRANSMIT_FACTOR = 3
# Eight messages a second with at most seven updates each stay under 12 KB/s.
MAX_UPDATES = 6
# One more for the receiver's own state as known to the sender.
MAX_MESSAGE_UPDATES = MAX_UPDATES + 1
# Members that this node notifies directly when it leaves.
ANNOUNCE_FANOUT = 8
# A dead member is probed once in this many rounds, so that the two sides of a
# healed partition merge again.
DEAD_PROBE_ROUNDS = 4
# A dead member is retained for this long, so that an old update that is still
# being disseminated does not add it again.
DEAD_MEMBER_RETENTION_MS = 60_000
