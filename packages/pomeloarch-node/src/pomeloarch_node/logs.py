"""Structured logging through absl, as text or as JSON lines."""

from __future__ import annotations

import enum
import logging as standard_logging
from typing import Any

import msgspec
from absl import logging


class LogFormat(enum.Enum):
    """The format of log lines."""

    TEXT = "text"
    JSON = "json"


class JsonFormatter(standard_logging.Formatter):
    """Formats each record as one JSON object with its fields."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the record as one line."""
        line: dict[str, Any] = {
            "time": record.created,
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            "module": record.module,
            **_fields(record),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class TextFormatter(standard_logging.Formatter):
    """Formats each record as text, with its fields as name=value pairs."""

    def __init__(self) -> None:
        """Creates a formatter for lines with time, level and message."""
        super().__init__("%(asctime)s %(levelname)s %(message)s")

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the record as one line."""
        pairs = [f"{name}={value}" for name, value in _fields(record).items()]
        return " ".join([super().format(record), *pairs])


def _fields(record: standard_logging.LogRecord) -> dict[str, Any]:
    fields: dict[str, Any] = getattr(record, "fields", {})
    return fields


def set_up_logs(log_format: LogFormat, verbosity: int) -> None:
    """Configures this process to log to stderr in the given format."""
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    formatter: standard_logging.Formatter = TextFormatter()
    if log_format is LogFormat.JSON:
        formatter = JsonFormatter()
    logging.get_absl_handler().setFormatter(formatter)


def log_event(event: str, **fields: Any) -> None:
    """Logs an event with structured fields."""
    logging.info(event, extra={"fields": fields})


def log_failure(event: str, exc: BaseException, **fields: Any) -> None:
    """Logs a fault of the program with its traceback and structured fields."""
    logging.error(event, exc_info=exc, extra={"fields": fields})
