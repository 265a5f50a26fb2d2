"""Stand-ins and process control that the scripts of this folder share.

Everything runs on loopback addresses. Each gateway is a process of its own,
started with the `run` line and the template of `deploy/system.toml`; the
platform's store, the searchers and the clients run in the script's process.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
HOST = 'registry.example'
READY_PATH = '/gypsumbridge/ready'
START_TIMEOUT_S = 30.0
HISTORY_S = 20.0
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 262_144,
    'headerTimeoutMs': 5_000,
    'idleTimeoutMs': 30_000,
}


def trouble() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_address() -> str:
    """Return a loopback address on which the metrics port is free."""
    for _ in range(100):
        address = f'127.{random.randint(1, 250)}.{random.randint(0, 250)}.7'
        with socket.socket() as probe:
            try:
                probe.bind((address, METRICS_PORT))
            except OSError:
                continue
        return address
    raise OSError('no free loopback address')


def free_ports(address: str, count: int) -> list[int]:
    """Return ports that are free on an address."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((address, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def join_address(name: tuple[str, int]) -> str:
    """Return the `ip:port` of a socket's name."""
    return f'{name[0]}:{name[1]}'


class Record:
    """The lines of `record.txt`, with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')

    def write(self, text: str) -> None:
        """Write one line."""
        passed_s = time.monotonic() - self.started
        self.file.write(f'{passed_s:8.3f} {text}\n')
        self.file.flush()


class Headers(list):
    """Header pairs in order; names are in lower case."""

    def first(self, name: str, default: str = '') -> str:
        """Return the first value of a name."""
        for key, value in self:
            if key == name.lower():
                return value
        return default


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = Headers()
    for line in lines[1:]:
        key, _, value = line.partition(':')
        headers.append((key.strip().lower(), value.strip()))
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body with a length or in chunks."""
    if 'chunked' in headers.first('transfer-encoding').lower():
        parts = []
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.first('content-length', '0')))


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return a response with its length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{key}: {value}' for key, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Store:
    """The platform's store, as far as the gateway calls it."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: list[tuple[float, dict]] = []
        self.forgotten_revision = 0
        self.changed = asyncio.Condition()
        self.address = ''
        # All changes, for reads that may be old.
        self.log: list[tuple[float, dict]] = []
        # The ages of the replicas that answer such reads in turn.
        self.replica_ages_s: list[float] = [0.0]
        self.stale_reads = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = join_address(server.sockets[0].getsockname())

    def forget(self) -> None:
        """Drop the changes that are older than the history."""
        limit_s = time.monotonic() - HISTORY_S
        while self.history and self.history[0][0] < limit_s:
            self.forgotten_revision = self.history.pop(0)[1]['revision']

    async def write(self, key: str, value: bytes | None) -> int:
        """Write a key, or remove it, and return the new revision."""
        async with self.changed:
            self.revision += 1
            event = {'key': key, 'revision': self.revision}
            if value is None:
                self.items.pop(key, None)
                event['deleted'] = True
            else:
                event['value'] = base64.b64encode(value).decode()
                before = self.items.get(key, {})
                event['created'] = before.get('created', self.revision)
                event['lease'] = 0
                self.items[key] = event
            self.history.append((time.monotonic(), event))
            self.log.append((time.monotonic(), event))
            self.changed.notify_all()
            return self.revision

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, answer = await self.answer(line, body)
                data = json.dumps(answer).encode()
                kind = [('Content-Type', 'application/json')]
                writer.write(encode_response(status, kind, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def answer(self, line: str, body: bytes) -> tuple[int, dict]:
        """Return the status and the body of a call's answer."""
        path, _, text = line.split(' ')[1].partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        if path == '/gypsumbridge/kv-txn':
            for put in json.loads(body)['puts']:
                value = base64.b64decode(put['value'])
                await self.write(put['key'], value)
            return 200, {'revision': self.revision}
        prefix = query.get('prefix', '')
        if path == '/gypsumbridge/kv-range':
            items, revision = self.items, self.revision
            if query.get('staleOk') == '1':
                items, revision = self.read_replica()
            return 200, list_page(
                items, revision, prefix, query.get('after', '')
            )
        if path == '/gypsumbridge/kv-watch':
            after = int(query['after'])
            self.forget()
            if after < self.forgotten_revision:
                return 410, {}
            events = await self.watch(after, int(query['waitMs']), prefix)
            return 200, {'events': events, 'storeRevision': self.revision}
        return 404, {}

    def read_replica(self) -> tuple[dict[str, dict], int]:
        """Return the items and the revision of the next replica."""
        ages_s = self.replica_ages_s
        age_s = ages_s[self.stale_reads % len(ages_s)]
        self.stale_reads += 1
        limit_s = time.monotonic() - age_s
        items: dict[str, dict] = {}
        revision = 0
        for written_s, event in self.log:
            if written_s > limit_s:
                break
            revision = event['revision']
            items[event['key']] = event
            if event.get('deleted'):
                del items[event['key']]
        return items, revision

    async def watch(self, after: int, wait_ms: int, prefix: str) -> list:
        """Return the changes after a revision, once there are any."""

        def changes() -> list:
            return [
                event
                for _, event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_ms / 1000), self.changed:
                await self.changed.wait_for(changes)
        except TimeoutError:
            pass
        return changes()


def list_page(
    items: dict[str, dict], revision: int, prefix: str, after: str
) -> dict:
    """Return a page of at most `PAGE_ITEMS` items or `PAGE_BYTES`."""
    names = sorted(
        key for key in items if key.startswith(prefix) and key > after
    )
    page: list[dict] = []
    size = 0
    for name in names[:PAGE_ITEMS]:
        size += len(json.dumps(items[name]))
        if page and size > PAGE_BYTES:
            break
        page.append(items[name])
    return {
        'items': page,
        'hasMore': len(page) < len(names),
        'storeRevision': revision,
    }


class Request:
    """A request as a searcher reads it."""

    def __init__(self, line: str, headers: Headers, body: bytes) -> None:
        self.method, self.target, _ = line.split(' ')
        self.headers = headers
        self.body = body
        self.id = headers.first('gypsumbridge-request-id')


class Searcher:
    """A searcher; `handle` writes the answer to each request.

    `handle(searcher, request, writer)` returns false to end the connection.
    """

    def __init__(self, searcher_id: str, service: str, zone: str, handle):
        self.id = searcher_id
        self.service = service
        self.zone = zone
        self.handle = handle
        self.address = ''
        self.born = int(time.time() * 1000)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = join_address(server.sockets[0].getsockname())

    async def register(self, store: Store, state: str = 'ready') -> None:
        """Write the searcher's entry."""
        entry = {
            'backend': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': '1',
            'slots': 2,
            'state': state,
            'warmupLeftMs': 0,
            'sequence': 1,
            'born': self.born,
        }
        await store.write(f'servers/{self.id}', json.dumps(entry).encode())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = Request(line, headers, body)
                expected = headers.first('gypsumbridge-expect-instance')
                if expected != self.id:
                    echo = [('Gypsumbridge-Request-Id', request.id)]
                    writer.write(encode_response(421, echo, b''))
                    continue
                if await self.handle(self, request, writer) is False:
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def success(self, request: Request, body: bytes) -> bytes:
        """Return a signed success."""
        return encode_response(
            200,
            [
                ('Gypsumbridge-Request-Id', request.id),
                ('Gypsumbridge-Server-Stamp', f'{self.id}.{request.id}'),
            ],
            body,
        )


class Gateway:
    """A gateway process on a loopback address of its own."""

    def __init__(
        self, folder: pathlib.Path, name: str, zone: str, store_address: str
    ) -> None:
        self.name = name
        self.folder = folder
        self.ip = free_address()
        front, ready, *inner = free_ports(self.ip, 4)
        self.front = (self.ip, front)
        self.ready = (self.ip, ready)
        self.fields = {
            'nodeName': name,
            'zone': zone,
            'ip': self.ip,
            'limits': {'linkMbps': 1000.0},
            'listen': {
                'front': f'{self.ip}:{front}',
                'ready': f'{self.ip}:{ready}',
            },
            'internalPortRange': inner,
            'platform': {'address': store_address},
            'bounds': {
                'drainMs': 3000,
                'retryBudgetRatio': 0.2,
                'budgetSlack': 58,
                'budgetWindowS': 10,
                'graceS': 6,
            },
        }
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self) -> None:
        """Start the process as the deploy file says."""
        text = (ROOT / 'deploy' / 'system.toml').read_text()
        role = tomllib.loads(text)['roles']['gateway']
        template = (ROOT / role['template']).read_text()
        path = self.folder / f'{self.name}.ini'
        path.write_text(re.sub(r'{{([\w.]+)}}', self.field, template))
        self.starts += 1
        kept = ('PATH', 'HOME', 'LANG')
        variables = {k: v for k, v in os.environ.items() if k in kept}
        variables['GYPSUMBRIDGE_NODE_FILE'] = str(path)
        variables['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def field(self, match: re.Match) -> str:
        """Return the value of a placeholder."""
        value = self.fields
        for name in match[1].split('.'):
            value = value[int(name) if isinstance(value, list) else name]
        return str(value)

    async def wait_ready(self) -> None:
        """Wait until the process reports that it is ready."""
        limit = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < limit:
            try:
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(
                    f'GET {READY_PATH} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
                )
                line, _ = await read_head(reader)
                writer.close()
                if ' 200 ' in line:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f'{self.name} does not become ready')

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        found = re.search(r'VmRSS:\s+(\d+) kB', text)
        return int(found[1]) / 1024 if found else 0.0

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def stop(self) -> None:
        """End the process."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.terminate()
        try:
            self.process.wait(8)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Answer:
    """What a client got; status 0 is a connection without an answer."""

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Client:
    """A client that keeps its connection and reconnects when it is closed."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        request_id: str,
        target: str,
        deadline_ms: int,
        method: str = 'GET',
        body: bytes = b'',
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Send a request and return its answer, or none at the deadline."""
        lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
        lines.append(f'Gypsumbridge-Request-Id: {request_id}')
        lines.append(f'Gypsumbridge-Deadline-Ms: {deadline_ms}')
        lines += [f'{key}: {value}' for key, value in headers]
        if method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        data = ('\r\n'.join(lines) + '\r\n\r\n').encode() + body
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        *self.address
                    )
                self.writer.write(data)
                line, found = await read_head(self.reader)
                content = await read_body(self.reader, found)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return Answer(0, Headers(), b'')
        if found.first('connection').lower() == 'close':
            self.close()
        return Answer(int(line.split(' ')[1]), found, content)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None


def make_config(version: int, routes: list[dict], services: dict) -> bytes:
    """Return a configuration; `services` maps names to connection limits."""
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'backends': [
                {'name': name, 'healthPath': '/health', 'maxConnections': n}
                for name, n in services.items()
            ],
            'limits': LIMITS,
        }
    ).encode()


def make_route(name: str, prefix: str, **fields) -> dict:
    """Return a route of the configuration."""
    return {
        'name': name,
        'hostname': HOST,
        'prefix': prefix,
        'routeType': 'safe',
        'timeoutMs': 4000,
        'targetLatencyMs': 1234,
        'maxAttempts': 2,
        'priority': 2,
        **fields,
    }


def run(play) -> None:
    """Run a case and exit with its status, or with 2 if it could not run.

    `play(folder, gateways)` is a coroutine; it appends the gateways that it
    starts, which are ended in any case, and returns the exit status.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    gateways: list[Gateway] = []
    status = 2
    with tempfile.TemporaryDirectory(prefix='gypsumbridge-review-') as name:
        loop = asyncio.new_event_loop()
        try:
            status = loop.run_until_complete(
                play(pathlib.Path(name), gateways)
            )
        except (Exception, KeyboardInterrupt) as error:
            print(f'the case could not run: {type(error).__name__}: {error}')
        finally:
            for gateway in gateways:
                gateway.stop()
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(status)
