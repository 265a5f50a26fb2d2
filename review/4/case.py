"""The store turns one machine away while the configuration keeps changing.

The configuration has 350 routes more than the one that is requested. For
nine seconds the store rejects the calls of one of three gateways, and serves
the others and the operator, who writes two storms of versions. The first of
them moves a route to another service. Then the store serves every gateway
again.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import rig  # noqa: E402

ZONES = ('almaty-a', 'almaty-b', 'almaty-c')
MORE_ROUTES = 350
SHARDS = 30
OUTAGE_S = 9.0
STORM_S = 4.4
GAP_S = 0.255
# `contactMs` and `configApplyMs` of the site.
CONTACT_S = 4.0
APPLY_S = 3.0
WATCHED_S = 6.0
REQUEST_GAP_S = 0.1


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


async def write_storm(record, store, version):
    """Write versions for the length of a storm; return the next version."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + STORM_S
    while loop.time() < end_s:
        config = make_config(version, 'console')
        revision = await store.write('op/config', config)
        record.write(
            f'operator: version {version}, {len(config)} bytes,'
            f' acknowledged at revision {revision}'
        )
        version += 3
        await asyncio.sleep(GAP_S)
    return version


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
    await store.write('op/config', make_config(7, 'desk'))
    addresses = [await store.listen() for _ in ZONES]
    for zone, address in zip(ZONES, addresses, strict=True):
        gateways.append(rig.Gateway(folder, f'front-{zone}', zone, address))
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(6.0)
    if rig.trouble():
        store.rejected.add(addresses[0])
        record.write(f'platform: the store rejects {gateways[0].name}')
    begun_s = asyncio.get_running_loop().time()
    version = await write_storm(record, store, 10)
    last = await write_storm(record, store, version) - 3
    passed_s = asyncio.get_running_loop().time() - begun_s
    await asyncio.sleep(max(0.0, OUTAGE_S - passed_s))
    store.rejected.clear()
    record.write('platform: the store serves every gateway')
    await asyncio.sleep(max(CONTACT_S, APPLY_S) + 0.5)
    record.write('every gateway is in touch, and every version is due')
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
        f'versions up to {last}; of {sent} requests to each gateway, run by'
        f' the service of version 7: {old}: {"broken" if broken else "held"}'
    )
    record.write(summary)
    print(summary)
    return 1 if broken else 0


if __name__ == '__main__':
    rig.run(play)
