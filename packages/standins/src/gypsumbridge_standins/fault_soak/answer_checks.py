"""Checks of single responses."""

from gypsumbridge_platform import header_names
from gypsumbridge_standins.fault_soak import deployment
from gypsumbridge_standins.fault_soak import outcome as outcomes
from gypsumbridge_standins.users_platform import searcher_site

NAMES = header_names.HEADERS
RECORD_BYTES = 16


def check_answer(outcome: outcomes.Outcome) -> list[str]:
    """Return the guarantees that a response violates by itself."""
    request = outcome.request
    if not outcome.status:
        return []
    if request.kind == 'dropped':
        return (
            []
            if outcome.status == 404
            else [describe(outcome, 'served by a dropped route')]
        )
    if outcome.status in (400, 401, 403, 404, 413, 431):
        return [describe(outcome, 'a valid request was rejected')]
    if request.kind == 'all' and outcome.status == 200:
        return check_gathered(outcome)
    return check_relayed(outcome)


def check_gathered(outcome: outcomes.Outcome) -> list[str]:
    """Check that the records are the merge of exactly the named parts."""
    listed = outcome.headers.get(NAMES.part_signatures, '')
    signatures = [text.strip() for text in listed.split(',')]
    services = []
    for signature in signatures:
        searcher_id, _, signed_id = signature.partition('.')
        if signed_id != outcome.request.request_id:
            return [describe(outcome, f'foreign signature {signature}')]
        services.append(searcher_id.partition('-')[0])
    missing = int(outcome.headers.get(NAMES.missing_parts, '0'))
    if len(set(services)) != len(services):
        return [describe(outcome, f'duplicate part: {listed}')]
    if len(services) + missing != len(deployment.SERVICES):
        return [describe(outcome, f'{listed} and {missing} missing')]
    if len(services) < deployment.MIN_COVERAGE * len(deployment.SERVICES):
        return [describe(outcome, f'coverage too low: {listed}')]
    records = []
    for service in services:
        part = searcher_site.records_of(service, outcome.request.target)
        records += [
            part[n : n + RECORD_BYTES]
            for n in range(0, len(part), RECORD_BYTES)
        ]
    records.sort(reverse=True)
    if b''.join(records[: deployment.TOP_K]) != outcome.body:
        return [describe(outcome, f'not the highest records of {listed}')]
    return []


def check_relayed(outcome: outcomes.Outcome) -> list[str]:
    """Check that a signed response is the searcher's own and complete."""
    signature = outcome.headers.get(NAMES.signature)
    if signature is None:
        if 200 <= outcome.status < 300:
            return [describe(outcome, 'a success without a signature')]
        return []
    searcher_id, _, signed_id = signature.partition('.')
    if signed_id != outcome.request.request_id:
        return [describe(outcome, f'foreign signature {signature}')]
    if outcome.status == 500:
        return []
    if outcome.status != 200:
        return [describe(outcome, 'not the status of the searcher')]
    service = searcher_id.partition('-')[0]
    expected = searcher_site.records_of(service, outcome.request.target)
    if outcome.body != expected:
        return [describe(outcome, f'not the body of {searcher_id}')]
    return []


def describe(outcome: outcomes.Outcome, problem: str) -> str:
    """Return a line that describes a violation by a response."""
    request = outcome.request
    return (
        f'{request.request_id} {request.target} at {request.node},'
        f' sent {request.sent_ms}, ended {outcome.ended_ms},'
        f' status {outcome.status}: {problem}'
    )
