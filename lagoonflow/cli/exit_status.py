"""Exit statuses of the command-line programs."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status that tells the calling script how a program ended."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    NOTE_MALFORMED = 3
    NOTE_REJECTED = 4
    LOG_UNAVAILABLE = 5
    PARTIAL_ANSWER = 6
    CHANGES_PENDING = 7
    INTERRUPTED = 130
