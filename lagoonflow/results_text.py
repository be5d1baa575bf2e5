"""Explanations of the result codes, for operators and callers.

docs/RESULTS.md is the output of ``lagoonflowctl explain``; a test compares it
with these texts.
"""

import dataclasses
from collections.abc import Mapping

from lagoonflow.results import Result


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The meaning of a result code, and what to do about it."""

    meaning: str
    remedy: str


TABLE_HEAD = """# Result codes

Each unsuccessful answer carries one of these codes. A refusal says
whether the request has run. This page is printed by `lagoonflowctl explain`.

| code | name | meaning | what to do |
|---|---|---|---|
"""

_REQUEST_CODES: Mapping[Result, Explanation] = {
    Result.OK: Explanation('The request was served.', 'Nothing.'),
    Result.MALFORMED_BODY: Explanation(
        'The body of the request is not valid.',
        'Correct the field that the message names.',
    ),
    Result.BODY_TOO_LARGE: Explanation(
        'The body of the request is larger than the router accepts.',
        'Send a smaller body, or raise --max-body-bytes.',
    ),
    Result.HEADERS_TOO_LARGE: Explanation(
        'The headers of the request are larger than the router accepts.',
        'Send fewer headers, or raise --max-header-bytes.',
    ),
    Result.UNKNOWN_ROUTE: Explanation(
        'No route in force matches the path.',
        'Check the path, or publish a route.',
    ),
    Result.UNKNOWN_MODEL: Explanation(
        'No model or adapter in force has this name.',
        'Check the name with lagoonflowctl release show model.',
    ),
    Result.PROMPT_TOO_LONG: Explanation(
        'The prompt and the requested answer together are too long.',
        'Shorten the prompt or lower max_tokens.',
    ),
    Result.MALFORMED_HEADER: Explanation(
        'A header of the request is not valid.',
        'Correct the header that the message names.',
    ),
    Result.METHOD_NOT_ALLOWED: Explanation(
        'The path exists but does not take this HTTP method.',
        'Use the method that the message names.',
    ),
    Result.KEY_REUSED_WITH_OTHER_BODY: Explanation(
        'The Idempotency-Key was used before with another body.',
        'Use a new Idempotency-Key for a new request.',
    ),
}
_CALLER_CODES: Mapping[Result, Explanation] = {
    Result.KEY_MISSING: Explanation(
        'The request carries no key and the route requires one.',
        'Send the key as a bearer token.',
    ),
    Result.KEY_UNKNOWN: Explanation(
        'No release note in force contains this key.',
        'Check the key, or publish its digest.',
    ),
    Result.KEY_WITHDRAWN: Explanation(
        'A release note has withdrawn the key permanently.',
        'Make a new key with lagoonflowctl key new.',
    ),
    Result.NOT_ALLOWED: Explanation(
        'The organisation may not make this request.',
        'Ask the operator.',
    ),
    Result.RATE_EXCEEDED: Explanation(
        'The organisation has used up its tokens.',
        'Retry after the time in Retry-After, or raise the rate by a release'
        ' note.',
    ),
    Result.LARGER_THAN_BURST: Explanation(
        'The request costs more tokens than the burst of the organisation.',
        'Lower max_tokens, or raise the burst by a release note.',
    ),
    Result.TOO_MANY_WAITING: Explanation(
        'Too many requests are waiting already.',
        'Retry after the time in Retry-After.',
    ),
    Result.TOO_MANY_CONNECTIONS: Explanation(
        'The router has as many connections as it accepts.',
        'Use another router, or raise --max-connections.',
    ),
}
_PLACE_CODES: Mapping[Result, Explanation] = {
    Result.DEADLINE_UNREACHABLE: Explanation(
        'The request cannot be served before its deadline.',
        'Retry after the time in Retry-After, or allow more time.',
    ),
    Result.NO_RUNNER: Explanation(
        'No backend server can take the request.',
        'Check the backend servers with lagoonflowctl status.',
    ),
    Result.MODEL_DOES_NOT_FIT: Explanation(
        'No backend server has enough memory for the model at present.',
        'Retry after the time in Retry-After, or check memory_mb of the model.',
    ),
    Result.LOAD_FAILED: Explanation(
        'The model could not be loaded.',
        'Check the checkpoint in the weight store and the engine.',
    ),
    Result.SHUTTING_DOWN: Explanation(
        'The process is shutting down and accepts no new work.',
        'Send the request again; another process serves it.',
    ),
    Result.CLAIM_LOG_UNAVAILABLE: Explanation(
        'A call that runs at most once needs the log service, which is'
        ' unavailable.',
        'Retry with the same Idempotency-Key after the time in Retry-After.',
    ),
    Result.CLAIM_PENDING: Explanation(
        'Another request with the same Idempotency-Key is still running.',
        'Retry with the same Idempotency-Key after the time in Retry-After.',
    ),
}
_FAILURE_CODES: Mapping[Result, Explanation] = {
    Result.BACKEND_UNREACHABLE: Explanation(
        'The backend server could not be reached.',
        'Send the request again; check the backend server.',
    ),
    Result.BACKEND_FAILED: Explanation(
        'The backend server answered with an error.',
        'Check the logs of the backend server.',
    ),
    Result.OUTCOME_UNKNOWN: Explanation(
        'The call may have run, so it must not be retried automatically.',
        'Check whether it took effect before sending it again.',
    ),
    Result.STREAM_BROKEN: Explanation(
        'The answer broke off and could not be continued.',
        'Send the request again.',
    ),
    Result.CALLER_GONE: Explanation(
        'The caller closed its connection or its sending side before the answer'
        ' ended.',
        'Keep both sides of the connection open until the answer has ended.',
    ),
    Result.INTERNAL: Explanation(
        'An internal error occurred.',
        'Report it with the log lines of the request.',
    ),
    Result.PROMPT_CRASHES_SERVERS: Explanation(
        'Backend servers crash when they answer a part of the prompt.',
        'Leave that part out, or retry after the time in Retry-After.',
    ),
    Result.REQUEST_CRASHES_SERVERS: Explanation(
        'Backend servers crash when they run this request, or may do so.',
        'Change the request, or retry after the time in Retry-After.',
    ),
}
_PEER_CODES: Mapping[Result, Explanation] = {
    Result.STALE_VIEW: Explanation(
        'The sender has read less of the shared streams than the receiver.',
        'Nothing: the sender pulls the missing records and tries again.',
    ),
    Result.NOT_HOME: Explanation(
        'The agent is not the home of the model.',
        'Nothing: the sender asks the home.',
    ),
    Result.STALE_LOCATION: Explanation(
        'The model is no longer where the router looked for it.',
        'Nothing: the router asks the home.',
    ),
    Result.NOT_A_MEMBER: Explanation(
        'The sender is not in the roster.',
        'Nothing if it joins again; otherwise check the log service.',
    ),
    Result.DECISION_REPEATED: Explanation(
        'The decision has already been executed.',
        'Nothing: a decision is executed once.',
    ),
    Result.RESERVATION_LOST: Explanation(
        'The reserved memory has been released.',
        'Nothing: the home asks for new bids.',
    ),
    Result.MALFORMED_MESSAGE: Explanation(
        'A message between the programs is not valid.',
        'Check that all programs have compatible versions.',
    ),
    Result.VERSION_GAP: Explanation(
        'Records between the last known and the received ones are missing.',
        'Nothing: the process pulls them from a peer or from the log.',
    ),
    Result.REVOKED: Explanation(
        'The attempt was revoked before it started.',
        'Nothing: the router has sent the request elsewhere.',
    ),
}
_OPERATOR_CODES: Mapping[Result, Explanation] = {
    Result.NOTE_MALFORMED: Explanation(
        'The release note is not valid.',
        'Correct the errors that lagoonflowctl release validate reports.',
    ),
    Result.NOTE_REJECTED: Explanation(
        'The release note does not fit what is in force.',
        'Compare its bases with lagoonflowctl release show.',
    ),
    Result.SETTING_INVALID: Explanation(
        'A flag or environment variable is not valid.',
        'Correct the setting that the message names.',
    ),
    Result.LOG_UNAVAILABLE: Explanation(
        'The log service did not answer in time.',
        'Repeat the command when the log service is available again; repeating'
        ' it is safe.',
    ),
    Result.RECORD_REJECTED: Explanation(
        'A record of a shared stream is not valid and was skipped.',
        'Find out who appended it; lagoonflowctl status counts them.',
    ),
}
EXPLANATIONS: Mapping[Result, Explanation] = {
    **_REQUEST_CODES,
    **_CALLER_CODES,
    **_PLACE_CODES,
    **_FAILURE_CODES,
    **_PEER_CODES,
    **_OPERATOR_CODES,
}


def get_explanation(result: Result) -> Explanation:
    """Return the explanation of a result code."""
    return EXPLANATIONS[result]


def results_table() -> str:
    """Return the text of docs/RESULTS.md."""
    rows = [
        f'| {result.value} | {result.name} | {explanation.meaning} |'
        f' {explanation.remedy} |'
        for result, explanation in EXPLANATIONS.items()
    ]
    return ''.join((TABLE_HEAD, '\n'.join(rows), '\n'))
