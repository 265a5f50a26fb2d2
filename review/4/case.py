"""A gateway is restarted just after a change of the configuration.

The configuration is large, so a listing of the store has several pages. The
operator moves a route to another service while one of three gateways is
stopped and started again, as planned work. Reads that may be old are answered
by two replicas in turn: the first is up to date, and with the trouble the
second is three seconds behind.
"""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import rig  # noqa: E402

ZONES = ('almaty-a', 'almaty-b', 'almaty-c')
MORE_ROUTES = 1_050
SHARDS = 30
REPLICA_AGE_S = 3.0
# `contactMs` and `configApplyMs` of the site.
CONTACT_S = 4.0
APPLY_S = 3.0
WATCHED_S = 15.0
REQUEST_GAP_S = 0.25


def make_config(version, target):
    """Return a version; `target` is the service of the requested route."""
    shards = [f'inspector-app~{n}' for n in range(SHARDS)]
    routes = [rig.make_route('audit', '/audit/', backend=target)]
    for number in range(MORE_ROUTES):
        routes.append(
            rig.make_route(
                f'route-{number}',
                f'/route{number}/',
                gather=shards,
                topK=10,
                minCoverage=0.89,
                timeoutMs=800,
                targetLatencyMs=183,
            )
        )
    limits = {**dict.fromkeys(shards, 26), 'desk': 110, 'console': 110}
    return rig.make_config(version, routes, limits)


async def play(folder, gateways):
    """Play the case and return its exit status."""
    record = rig.Record(HERE)
    store = rig.Store()
    await store.start()
    ran: dict[str, str] = {}

    async def handle(searcher, request, writer):
        ran[request.id] = searcher.service
        record.write(f'searcher {searcher.id}: runs {request.id}')
        await asyncio.sleep(0.02)
        writer.write(searcher.success(request, searcher.service.encode()))

    for service in ('desk', 'console'):
        for zone in ZONES:
            name = f'i-{service}-{zone}'
            searcher = rig.Searcher(name, service, zone, handle)
            await searcher.start()
            await searcher.register(store)
    first = make_config(7, 'desk')
    await store.write('op/config', first)
    record.write(f'operator: version 7, {len(first)} bytes')
    for zone in ZONES:
        gateways.append(
            rig.Gateway(folder, f'front-{zone}', zone, store.address)
        )
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(6.0)
    if rig.trouble():
        store.replica_ages_s = [0.0, REPLICA_AGE_S]
        store.stale_reads = 0
    restarted = gateways[0]
    restarted.signal(signal.SIGTERM)
    record.write(f'platform: SIGTERM to {restarted.name}')
    while restarted.process.poll() is None:
        await asyncio.sleep(0.02)
    revision = await store.write('op/config', make_config(10, 'console'))
    record.write(f'operator: version 10 acknowledged at revision {revision}')
    await asyncio.sleep(0.5)
    restarted.start()
    record.write(f'platform: starts {restarted.name}')
    await restarted.wait_ready()
    await asyncio.sleep(max(CONTACT_S, APPLY_S) + 0.5)
    record.write('every gateway is in touch, and version 10 is due')
    clients = {gateway.name: rig.Client(gateway.front) for gateway in gateways}
    old = {gateway.name: 0 for gateway in gateways}
    sent = 0
    end_s = asyncio.get_running_loop().time() + WATCHED_S
    while asyncio.get_running_loop().time() < end_s:
        sent += 1
        for name, client in clients.items():
            request_id = f'{name}-{sent}'
            answer = await client.send(request_id, '/audit/x', 4_000)
            service = ran.get(request_id, 'none')
            record.write(
                f'client: {request_id} {answer.status} run by {service}'
            )
            old[name] += service == 'desk'
        await asyncio.sleep(REQUEST_GAP_S)
    broken = any(old.values())
    summary = (
        f'of {sent} requests to each gateway, run by the service of version'
        f' 7: {old}: {"broken" if broken else "held"}'
    )
    record.write(summary)
    print(summary)
    return 1 if broken else 0


if __name__ == '__main__':
    rig.run(play)
