"""Times and bounds of the membership protocol."""

PROBE_INTERVAL_MS = 500
# A direct probe has this long before others are asked to probe as well;
# round trips are a few milliseconds, even between regions under 200.
DIRECT_TIMEOUT_MS = 200
INDIRECT_PROBES = 3
# Suspicion lasts this many intervals for each factor of ten in fleet size,
# since news needs time in proportion to the logarithm of the size.
SUSPICION_INTERVALS = 4
# The shortest suspicion. A node that was silent for less cannot have been
# declared dead, so a shorter gap needs no self-doubt.
FROZEN_GAP_MS = SUSPICION_INTERVALS * PROBE_INTERVAL_MS
# Each update is sent this many times the binary logarithm of the size.
RETRANSMIT_FACTOR = 3
# Eight messages of at most seven updates a second stay under 12 KB/s.
MAX_UPDATES = 6
# With what is believed of the receiver itself.
MAX_MESSAGE_UPDATES = MAX_UPDATES + 1
# Members told directly when this node announces that it is leaving.
ANNOUNCE_FANOUT = 8
# Members believed dead are probed now and then, so that two sides of a
# healed partition find each other.
DEAD_PROBE_ROUNDS = 4
# A dead member is remembered for this long, so that old news of it that
# still travels does not bring it back.
FORGET_MS = 60_000
