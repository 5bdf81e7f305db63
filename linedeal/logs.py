"""Structured logs on standard error, one event per line, as JSON or as readable text."""

import logging
import sys

import structlog


def setup(as_json: bool, verbose: bool) -> structlog.stdlib.BoundLogger:
    """Configures structlog and returns the program's logger.

    `as_json` selects JSON lines, `verbose` the level DEBUG. At level INFO nothing is logged per job unless
    something fails.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer()
            if as_json
            else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG if verbose else logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()
