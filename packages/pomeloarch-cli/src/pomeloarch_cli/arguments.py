"""Argument types for argparse, with their error messages."""

from __future__ import annotations

import argparse
import math
import re
import urllib.parse

from pomeloarch_core.objects import Kind, ObjectKey

_JOB_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,199}")


def node_url(text: str) -> str:
    """Parses the URL of a node.

    >>> node_url("http://127.0.0.1:8080/")
    'http://127.0.0.1:8080'
    """
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError as exc:
        raise argparse.ArgumentTypeError(f"{text!r}: {exc}") from exc
    if parts.scheme not in ("http", "https") or not parts.hostname or port == 0:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not the URL of a node, such as http://127.0.0.1:8080"
        )
    return text.rstrip("/")


def non_negative_int(text: str) -> int:
    """Parses an integer of at least 0.

    >>> non_negative_int("12")
    12
    """
    if not text.isascii() or not text.isdecimal() or len(text) > 12:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not an integer of at least 0"
        )
    return int(text)


def positive_int(text: str) -> int:
    """Parses an integer of at least 1.

    >>> positive_int("12")
    12
    """
    number = non_negative_int(text)
    if number == 0:
        raise argparse.ArgumentTypeError("must be at least 1, not 0")
    return number


def seconds(text: str) -> float:
    """Parses a duration in seconds, at least 0.

    >>> seconds("0.5")
    0.5
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not value >= 0.0:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a duration in seconds"
        )
    return value


def timeout(text: str) -> float:
    """Parses a timeout in seconds, above 0."""
    value = seconds(text)
    if value == 0.0:
        raise argparse.ArgumentTypeError("a timeout must be above 0")
    return value


def header_text(text: str) -> str:
    """Checks that a text can be sent in an HTTP header, and returns it."""
    if not text.isascii() or not text.isprintable():
        raise argparse.ArgumentTypeError(
            f"{text!r} has characters that are not allowed in an HTTP header"
        )
    return text


def job_id(text: str) -> str:
    """Checks the id of a job, which becomes part of a URL, and returns it."""
    if not _JOB_ID.fullmatch(text):
        raise argparse.ArgumentTypeError(f"{text!r} is not the id of a job")
    return text


def object_name(text: str) -> str:
    """Checks the name of an object, as `kind/name`, and returns it.

    >>> object_name("service/scorer")
    'service/scorer'
    """
    key = ObjectKey.from_text(text)
    if not key.name or key.kind not in {kind.value for kind in Kind}:
        kinds = ", ".join(kind.value for kind in Kind)
        raise argparse.ArgumentTypeError(
            f"{text!r} is not KIND/NAME, where KIND is one of {kinds}"
        )
    return text


def subject(text: str) -> str:
    """Checks the id of a job or the name of an object, and returns it."""
    return text if "/" in text else job_id(text)
