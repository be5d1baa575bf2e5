"""Configures structured logs, whose lines begin with their component."""

import enum
import logging
from typing import TextIO

import structlog


class LogFormat(enum.StrEnum):
    """Format of log lines."""

    CONSOLE = 'console'
    JSON = 'json'


class LogLevel(enum.StrEnum):
    """Lowest level that is logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


_LEVELS = {
    LogLevel.DEBUG: logging.DEBUG,
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}


def configure_logs(
    stream: TextIO,
    log_format: LogFormat,
    level: LogLevel,
) -> None:
    """Write all logs of this process to one stream."""
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if log_format is LogFormat.CONSOLE:
        # structlog's default tracebacks print local variables, which may hold
        # keys of callers.
        renderer = structlog.dev.ConsoleRenderer(
            colors=stream.isatty(),
            exception_formatter=structlog.dev.plain_traceback,
        )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            _add_prefix,
            *_exception_processors(log_format),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(stream=stream, level=logging.WARNING, force=True)


def get_logger(part: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger whose lines begin with ``part:``.

    :param part: component that logs, such as ``callers``.
    """
    return structlog.get_logger(part=part)


def _add_prefix(
    _logger: object,
    _method: str,
    event: structlog.typing.EventDict,
) -> structlog.typing.EventDict:
    part = event.pop('part', '')
    if part:
        event['event'] = f'{part}: {event["event"]}'
    return event


def _exception_processors(
    log_format: LogFormat,
) -> tuple[structlog.typing.Processor, ...]:
    if log_format is LogFormat.CONSOLE:
        return ()
    return (structlog.processors.format_exc_info,)
