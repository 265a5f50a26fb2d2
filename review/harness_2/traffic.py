"""Clients behind the platform's balancer."""

import collections
import concurrent.futures
import http.client
import random
import threading
import time
from typing import Any

from harness_2 import deployment as deployments

HOST = 'a.example'
PROBE_INTERVAL_S = 1.0
MISSES = 2


class Balancer:
    """Probes the gateways once a second, as the platform does.

    After two misses a gateway gets no new connections until it answers 200.
    With fewer than half of the gateways in rotation, all are used.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.misses: collections.Counter[str] = collections.Counter()
        self.missed = 0
        self.removed: set[str] = set()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._probe, daemon=True)
        self.thread.start()

    def _probe(self) -> None:
        while not self.ended.wait(PROBE_INTERVAL_S):
            for name in list(self.deployment.machines):
                if name in self.removed:
                    continue
                if self.deployment.ready_status(name, 0.5) == 200:
                    self.misses[name] = 0
                else:
                    self.misses[name] += 1
                    self.missed += 1

    def choose(self) -> str:
        """Return the gateway for a new connection."""
        names = [
            name
            for name in self.deployment.machines
            if name not in self.removed
        ]
        ready = [name for name in names if self.misses[name] < MISSES]
        return random.choice(ready if len(ready) * 2 >= len(names) else names)


class Traffic:
    """Sends requests at a rate, each on a new connection.

    A request that is refused with Retry-After is repeated once, with another
    id, within its deadline.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        balancer: Balancer,
        deadline_ms: int,
    ) -> None:
        self.deployment = deployment
        self.balancer = balancer
        self.deadline_ms = deadline_ms
        self.pool = concurrent.futures.ThreadPoolExecutor(64)
        self.last_id = 0
        self.lock = threading.Lock()
        # When each request was sent first, and its last status; 0 without.
        self.results: list[tuple[float, int]] = []
        # When each attempt was sent and ended, and its status; 0 without.
        self.attempts: list[tuple[float, float, int]] = []

    def send(
        self, target: str, headers: dict[str, str], body: bytes = b''
    ) -> None:
        """Send a request in the background, a POST if it has a body."""
        self.pool.submit(self._send, target, headers, body)

    def _send(self, target: str, headers: dict[str, str], body: bytes) -> None:
        sent_s = self.deployment.now_s()
        left_s = self.deadline_ms / 1_000
        status, retry_after = self._attempt(target, headers, body, left_s)
        if status in (429, 503):
            pause_s = min(float(retry_after or 0.05), left_s / 3)
            time.sleep(pause_s)
            left_s -= self.deployment.now_s() - sent_s
            if left_s > 0:
                status, _ = self._attempt(target, headers, body, left_s)
        with self.lock:
            self.results.append((sent_s, status))

    def _attempt(
        self,
        target: str,
        headers: dict[str, str],
        body: bytes,
        left_s: float,
    ) -> tuple[int, str | None]:
        with self.lock:
            self.last_id += 1
            request_id = f'q{self.last_id}'
        name = self.balancer.choose()
        machine = self.deployment.machines[name]
        sent_s = self.deployment.now_s()
        connection = http.client.HTTPConnection(
            machine.address, machine.front, timeout=left_s
        )
        status, retry_after, error = 0, None, ''
        try:
            connection.request(
                'POST' if body else 'GET',
                target,
                body or None,
                headers={
                    'Host': HOST,
                    'Gypsumbridge-Request-Id': request_id,
                    'Gypsumbridge-Deadline-Ms': str(int(left_s * 1_000)),
                    **headers,
                },
            )
            response = connection.getresponse()
            response.read()
            status = response.status
            retry_after = response.getheader('Retry-After')
        except (OSError, http.client.HTTPException) as found:
            error = type(found).__name__
        finally:
            connection.close()
        end_s = self.deployment.now_s()
        with self.lock:
            self.attempts.append((sent_s, end_s, status))
        self.deployment.record(
            'answered' if status else 'not answered',
            id=request_id,
            machine=name,
            target=target[:40],
            sent_s=round(sent_s, 3),
            status=status,
            error=error,
        )
        return status, retry_after

    def run(
        self,
        seconds: float,
        per_s: float,
        requests: list[tuple[Any, ...]],
    ) -> None:
        """Send requests in turn, at a rate, for a time."""
        start_s = time.monotonic()
        count = int(seconds * per_s)
        for number in range(count):
            wait_s = start_s + number / per_s - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            self.send(*requests[number % len(requests)])

    def served(self, from_s: float, to_s: float) -> tuple[int, int]:
        """Return how many requests sent in a time were served, and all."""
        found = [
            status
            for sent_s, status in self.results
            if from_s <= sent_s < to_s
        ]
        return sum(200 <= status < 300 for status in found), len(found)

    def finish(self) -> None:
        """Wait for the requests in flight."""
        self.pool.shutdown(wait=True)
