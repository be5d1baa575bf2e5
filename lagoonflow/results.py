"""Numbered result codes, and refusals as values that carry one."""

import dataclasses
import enum


class Result(enum.IntEnum):
    """Result codes; docs/RESULTS.md explains each of them.

    The names and numbers are outward: callers and operators see them.
    """

    OK = 0
    # 1xx: the request is not valid.
    MALFORMED_BODY = 101
    BODY_TOO_LARGE = 102
    HEADERS_TOO_LARGE = 103
    UNKNOWN_ROUTE = 104
    UNKNOWN_MODEL = 105
    PROMPT_TOO_LONG = 106
    MALFORMED_HEADER = 107
    METHOD_NOT_ALLOWED = 108
    KEY_REUSED_WITH_OTHER_BODY = 109
    # 2xx: the caller is not authenticated or not allowed.
    KEY_MISSING = 201
    KEY_UNKNOWN = 202
    KEY_WITHDRAWN = 203
    NOT_ALLOWED = 204
    # 3xx: a limit is exceeded.
    RATE_EXCEEDED = 301
    LARGER_THAN_BURST = 302
    TOO_MANY_WAITING = 303
    TOO_MANY_CONNECTIONS = 304
    # 4xx: the request cannot be served now or before its deadline.
    DEADLINE_UNREACHABLE = 401
    NO_RUNNER = 402
    MODEL_DOES_NOT_FIT = 403
    LOAD_FAILED = 404
    SHUTTING_DOWN = 405
    CLAIM_LOG_UNAVAILABLE = 406
    CLAIM_PENDING = 407
    # 5xx: the call failed while it was served.
    BACKEND_UNREACHABLE = 501
    BACKEND_FAILED = 502
    OUTCOME_UNKNOWN = 503
    STREAM_BROKEN = 504
    CALLER_GONE = 505
    INTERNAL = 506
    PROMPT_CRASHES_SERVERS = 507
    REQUEST_CRASHES_SERVERS = 508
    # 6xx: between routers and agents.
    STALE_VIEW = 601
    NOT_HOME = 602
    STALE_LOCATION = 603
    NOT_A_MEMBER = 604
    DECISION_REPEATED = 605
    RESERVATION_LOST = 606
    MALFORMED_MESSAGE = 607
    VERSION_GAP = 608
    REVOKED = 609
    # 7xx: release notes, settings and the log service.
    NOTE_MALFORMED = 701
    NOTE_REJECTED = 702
    SETTING_INVALID = 703
    LOG_UNAVAILABLE = 704
    RECORD_REJECTED = 705


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Says that a request was refused or has failed, and why.

    It is returned as a value, not raised.

    :param code: numbered result code.
    :param reason: one sentence for the caller or operator.
    :param not_run: whether it is certain that the request did not run.
    :param retry_after_ms: time after which a retry may succeed, in ms; 0
        when a retry does not help.
    """

    code: Result
    reason: str
    not_run: bool = True
    retry_after_ms: int = 0
