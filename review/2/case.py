"""Searchers of many shards send bodies without end.

Two gateways serve gathers over 20 shards of two searchers each, and plain
requests to a service of its own. In each spell, five of the 40 searchers send
a chunked body without end in place of 45 of 100 answers. The script plays the
platform: it kills a process whose memory exceeds `memoryMb`, and starts it
again.
"""

import asyncio
import collections
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import rig  # noqa: E402

SEED = int(os.environ.get('SEED', '1'))
MEMORY_MB = 300
RESTART_S = 1.0
SHARDS = 20
ZONES = ('almaty-a', 'almaty-b')
# Dose of `srv_grey` on the site: share, x and for_s.
FAULTY_SHARE = 0.14
FAILED_SHARE = 0.45
SPELL_S = 6.5
SPELLS = tuple((start, start + SPELL_S) for start in range(3, 64, 10))
LENGTH_S = 71.0
GATHERS_PER_S = 10
PLAIN_PER_S = 2.5
CLIENTS = 8
# The rule counts ends of a process from three on, and lost requests from
# four on.
MAX_ENDS = 2
MAX_LOST = 3
# A chunk of four bytes.
PIECE = b'4\r\nyyyy\r\n'


class State:
    """What the stand-ins have seen."""

    def __init__(self) -> None:
        self.started = 0.0
        self.ends = collections.Counter()
        self.statuses = collections.Counter()
        self.lost = 0
        self.endless = 0
        self.ran = set()

    def now_s(self) -> float:
        """Return the time since the start of the traffic."""
        return asyncio.get_running_loop().time() - self.started

    def in_spell(self) -> bool:
        """Return whether searchers are in trouble now."""
        if not rig.trouble():
            return False
        return any(a <= self.now_s() < b for a, b in SPELLS)


def make_handler(state, record, rng, faulty, work_s):
    """Return the handler of a searcher's requests."""

    async def handle(searcher, request, writer):
        if faulty and state.in_spell() and rng.random() < FAILED_SHARE:
            state.endless += 1
            record.write(f'searcher {searcher.id}: endless {request.id}')
            writer.write(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            )
            try:
                while not writer.is_closing():
                    writer.write(PIECE * 8_000)
                    await writer.drain()
            except OSError:
                pass
            return False
        await asyncio.sleep(work_s)
        if not searcher.service.startswith('shard'):
            record.write(f'searcher {searcher.id}: runs {request.id}')
        state.ran.add(request.id)
        writer.write(searcher.success(request, rng.randbytes(12 * 16)))

    return handle


async def guard_memory(state, record, gateway):
    """Kill the process over its memory limit, and start it again."""
    while True:
        await asyncio.sleep(0.01)
        if gateway.process.poll() is None:
            used_mb = gateway.memory_mb()
            if used_mb <= MEMORY_MB:
                continue
            gateway.process.kill()
            state.ends[gateway.name] += 1
            record.write(
                f'platform: {gateway.name} uses {used_mb:.0f} MB'
                f' of {MEMORY_MB}, killed'
            )
        gateway.process.wait()
        await asyncio.sleep(RESTART_S)
        gateway.start()


async def send_requests(state, record, gateway, number, prefix, gap_s, ms):
    """Send requests over a kept connection, one after the other."""
    client = rig.Client(gateway.front)
    sent = 0
    await asyncio.sleep(gap_s * random.random())
    while state.now_s() < LENGTH_S:
        sent += 1
        kept = client.writer is not None
        request_id = f'{gateway.name}-{number}-{sent}'
        begun = state.now_s()
        answer = await client.send(request_id, f'{prefix}x', ms)
        state.statuses[answer.status] += 1
        took_s = state.now_s() - begun
        record.write(
            f'client: {request_id} {prefix} {answer.status} {took_s:.3f} s'
        )
        in_time = took_s < ms / 1000
        if not answer.status and kept and in_time and request_id in state.ran:
            state.lost += 1
            record.write(f'client: {request_id} was lost')
        await asyncio.sleep(max(0.01, gap_s - took_s))
    client.close()


async def play(folder, gateways):
    """Play the case and return its exit status."""
    record = rig.Record(HERE)
    state = State()
    rng = random.Random(SEED)
    store = rig.Store()
    await store.start()
    shards = [f'shard{n}' for n in range(SHARDS)]
    names = [(shard, zone) for shard in shards for zone in ZONES]
    faulty = set(rng.sample(names, int(len(names) * FAULTY_SHARE)))
    names += [('console', zone) for zone in ZONES]
    for service, zone in names:
        searcher = rig.Searcher(
            f'i-{service}-{zone}',
            service,
            zone,
            make_handler(
                state,
                record,
                rng,
                (service, zone) in faulty,
                0.02 if service in shards else 0.16,
            ),
        )
        await searcher.start()
        await searcher.register(store)
    routes = [
        rig.make_route(
            'lookup',
            '/lookup/',
            gather=shards,
            topK=10,
            minCoverage=0.89,
            timeoutMs=800,
            targetLatencyMs=183,
            priority=1,
        ),
        rig.make_route('console', '/console/', backend='console'),
    ]
    limits = {**dict.fromkeys(shards, 26), 'console': 110}
    await store.write('op/config', rig.make_config(7, routes, limits))
    for zone in ZONES:
        gateways.append(
            rig.Gateway(folder, f'front-{zone}', zone, store.address)
        )
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(2.0)
    state.started = asyncio.get_running_loop().time()
    guards = [
        asyncio.create_task(guard_memory(state, record, gateway))
        for gateway in gateways
    ]
    clients = []
    for gateway in gateways:
        for number in range(CLIENTS):
            clients.append(
                send_requests(
                    state,
                    record,
                    gateway,
                    number,
                    '/lookup/',
                    CLIENTS / GATHERS_PER_S,
                    800,
                )
            )
        for number in range(CLIENTS, CLIENTS + 4):
            clients.append(
                send_requests(
                    state,
                    record,
                    gateway,
                    number,
                    '/console/',
                    4 / PLAIN_PER_S,
                    4_000,
                )
            )
    await asyncio.gather(*clients)
    for guard in guards:
        guard.cancel()
    often = [n for n, ends in state.ends.items() if ends > MAX_ENDS]
    broken = len(often) >= len(gateways) or state.lost > MAX_LOST
    summary = (
        f'endless bodies {state.endless}, ends {dict(state.ends)},'
        f' lost {state.lost}, statuses {dict(state.statuses)},'
        f' memory at the end'
        f' {[round(g.memory_mb()) for g in gateways if not g.process.poll()]}'
        f' MB: {"broken" if broken else "held"}'
    )
    record.write(summary)
    print(summary)
    return 1 if broken else 0


if __name__ == '__main__':
    rig.run(play)
