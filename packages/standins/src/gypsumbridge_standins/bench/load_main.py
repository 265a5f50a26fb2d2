"""One load run as a process; prints its result as JSON."""

import dataclasses
import json
import os
import pathlib
import sys
from typing import Any

import defopt

from gypsumbridge_standins.bench import load_result
from gypsumbridge_standins.bench import open_loop
from gypsumbridge_standins.bench import process_time
from gypsumbridge_wire import http_request


def main(targets: pathlib.Path, rate: float, count: int) -> None:
    """Send requests to the targets in turn.

    :param targets: JSON list of {address, path, headers, body}.
    :param rate: Requests a second.
    :param count: Requests in all.
    """
    from twisted.internet import reactor

    known = json.loads(targets.read_text())
    before_ms = process_time.processor_ms(os.getpid())

    def make_request(number: int) -> tuple[str, http_request.HttpRequest]:
        target = known[number % len(known)]
        request = http_request.HttpRequest(
            'POST', target['path'], target['headers'], target['body'].encode()
        )
        return target['address'], request

    def report(result: load_result.LoadResult) -> None:
        used_ms = process_time.processor_ms(os.getpid()) - before_ms
        seen = {**dataclasses.asdict(result), 'processor_ms': used_ms}
        print(json.dumps(seen), flush=True)
        reactor.stop()

    def fail(failure: Any) -> None:
        print(failure.getTraceback(), file=sys.stderr)
        reactor.stop()

    running = open_loop.run_load(reactor, rate, count, make_request)
    running.addCallbacks(report, fail)
    reactor.run()


if __name__ == '__main__':
    sys.exit(defopt.run(main))
