"""Turns refusals into HTTP error answers."""

import math

import msgspec
from starlette.responses import Response

from lagoonflow.results import Refusal, Result

JSON_TYPE = 'application/json'
MS_PER_S = 1000

_STATUS_BY_RESULT = {
    Result.MALFORMED_BODY: 400,
    Result.MALFORMED_HEADER: 400,
    Result.PROMPT_TOO_LONG: 400,
    Result.KEY_MISSING: 401,
    Result.KEY_UNKNOWN: 401,
    Result.KEY_WITHDRAWN: 401,
    Result.NOT_ALLOWED: 403,
    Result.UNKNOWN_ROUTE: 404,
    Result.UNKNOWN_MODEL: 404,
    Result.METHOD_NOT_ALLOWED: 405,
    Result.CLAIM_PENDING: 409,
    Result.BODY_TOO_LARGE: 413,
    Result.KEY_REUSED_WITH_OTHER_BODY: 422,
    Result.RATE_EXCEEDED: 429,
    Result.LARGER_THAN_BURST: 429,
    Result.HEADERS_TOO_LARGE: 431,
    Result.INTERNAL: 500,
    Result.BACKEND_UNREACHABLE: 502,
    Result.BACKEND_FAILED: 502,
    Result.OUTCOME_UNKNOWN: 502,
    Result.STREAM_BROKEN: 502,
    Result.LOAD_FAILED: 502,
}
_DEFAULT_STATUS = 503


class ErrorDetail(msgspec.Struct, frozen=True):
    """The fields of a refusal that the caller receives."""

    code: int
    name: str
    message: str
    not_run: bool
    retry_after_ms: int
    request_id: str


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of every refusal."""

    error: ErrorDetail


def error_body(refusal: Refusal, request_id: str) -> bytes:
    """Encode a refusal as a JSON body."""
    detail = ErrorDetail(
        code=int(refusal.code),
        name=refusal.code.name,
        message=refusal.reason,
        not_run=refusal.not_run,
        retry_after_ms=refusal.retry_after_ms,
        request_id=request_id,
    )
    return msgspec.json.encode(ErrorBody(detail))


def error_response(refusal: Refusal, request_id: str) -> Response:
    """Build the HTTP answer for a refusal."""
    status = _STATUS_BY_RESULT.get(refusal.code, _DEFAULT_STATUS)
    response = Response(
        error_body(refusal, request_id),
        status,
        media_type=JSON_TYPE,
    )
    response.headers['x-request-id'] = request_id
    if refusal.retry_after_ms > 0:
        retry_after_s = math.ceil(refusal.retry_after_ms / MS_PER_S)
        response.headers['retry-after'] = str(retry_after_s)
    if refusal.code in {Result.KEY_MISSING, Result.KEY_UNKNOWN}:
        response.headers['www-authenticate'] = 'Bearer'
    return response
