"""Sends requests at a fixed rate and prints the result as JSON."""

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
    :param rate: Requests per second.
    :param count: Requests in all.
    """
    from twisted.internet import reactor

    target_list = json.loads(targets.read_text())
    before_ms = process_time.processor_ms(os.getpid())

    def make_request(number: int) -> tuple[str, http_request.HttpRequest]:
        target = target_list[number % len(target_list)]
        request = http_request.HttpRequest(
            'POST', target['path'], target['headers'], target['body'].encode()
        )
        return target['address'], request

    def report_result(result: load_result.LoadResult) -> None:
        used_ms = process_time.processor_ms(os.getpid()) - before_ms
        result_fields = {**dataclasses.asdict(result), 'processor_ms': used_ms}
        print(json.dumps(result_fields), flush=True)
        reactor.stop()

    def report_failure(failure: Any) -> None:
        print(failure.getTraceback(), file=sys.stderr)
        reactor.stop()

    load_deferred = open_loop.run_load(reactor, rate, count, make_request)
    load_deferred.addCallbacks(report_result, report_failure)
    reactor.run()


if __name__ == '__main__':
    sys.exit(defopt.run(main))
