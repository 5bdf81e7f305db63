"""Structured logs: one event a line on standard error, as JSON or for people."""

import logging
import sys

import structlog


def setup(as_json: bool, verbose: bool) -> structlog.stdlib.BoundLogger:
    """The program's logger. At info there is nothing for each job on the ordinary path."""
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
