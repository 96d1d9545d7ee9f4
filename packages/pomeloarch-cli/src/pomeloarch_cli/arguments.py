"""Types of command line arguments, with what argparse says of wrong ones."""

from __future__ import annotations

import argparse
import math
import re
import urllib.parse

from pomeloarch_core.objects import Kind, ObjectKey

_JOB_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,199}")


def node_url(text: str) -> str:
    """Returns the URL of a node.

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
            f"{text!r} is no URL of a node, such as http://127.0.0.1:8080"
        )
    return text.rstrip("/")


def whole_number(text: str) -> int:
    """Returns a whole number from 0.

    >>> whole_number("12")
    12
    """
    if not text.isascii() or not text.isdecimal() or len(text) > 12:
        raise argparse.ArgumentTypeError(f"{text!r} is no whole number from 0")
    return int(text)


def positive_number(text: str) -> int:
    """Returns a whole number from 1.

    >>> positive_number("12")
    12
    """
    number = whole_number(text)
    if number == 0:
        raise argparse.ArgumentTypeError("0 is too few; give 1 or more")
    return number


def seconds(text: str) -> float:
    """Returns a time in seconds, from 0.

    >>> seconds("0.5")
    0.5
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not value >= 0.0:
        raise argparse.ArgumentTypeError(f"{text!r} is no time in seconds")
    return value


def timeout(text: str) -> float:
    """Returns a timeout in seconds, above 0."""
    value = seconds(text)
    if value == 0.0:
        raise argparse.ArgumentTypeError("a timeout has to be above 0")
    return value


def header_text(text: str) -> str:
    """Returns text that an HTTP header can carry."""
    if not text.isascii() or not text.isprintable():
        raise argparse.ArgumentTypeError(
            f"{text!r} has letters that an HTTP header can't carry"
        )
    return text


def job_id(text: str) -> str:
    """Returns a job's id, which is part of a URL's path."""
    if not _JOB_ID.fullmatch(text):
        raise argparse.ArgumentTypeError(f"{text!r} is no id of a job")
    return text


def object_name(text: str) -> str:
    """Returns an object as `kind/name`.

    >>> object_name("service/scorer")
    'service/scorer'
    """
    key = ObjectKey.from_text(text)
    if not key.name or key.kind not in {kind.value for kind in Kind}:
        kinds = ", ".join(kind.value for kind in Kind)
        raise argparse.ArgumentTypeError(
            f"{text!r} is not KIND/NAME with a kind of {kinds}"
        )
    return text


def subject(text: str) -> str:
    """Returns a job's id, or an object as `kind/name`."""
    return text if "/" in text else job_id(text)
