"""What the head of a caller's request says."""

from __future__ import annotations

import re
from collections.abc import Mapping, MutableMapping
from typing import Any

import msgspec

from pomeloarch_core.ids import (
    CallerName,
    JobClassName,
    OrganisationName,
    RequestId,
    ServiceName,
)
from pomeloarch_core.objects.model import Service

Scope = MutableMapping[str, Any]

PREFIX = "/v1/services/"
_REQUEST_ID = re.compile(rb"[A-Za-z0-9._-]{1,64}")
_LONGEST_DEADLINE_MS = 3_600_000
_LONGEST_NAME = 128
_DIGITS = re.compile(rb"[0-9]{1,9}")

_TEXTS = (b"pomelo-organisation", b"pomelo-caller", b"idempotency-key")
_NUMBERS = (b"pomelo-deadline-ms", b"content-length")

# Headers that hold for one connection alone or that this node sets anew.
_NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"idempotency-key",
        b"keep-alive",
        b"pomelo-caller",
        b"pomelo-class",
        b"pomelo-deadline-ms",
        b"pomelo-non-idempotent",
        b"pomelo-organisation",
        b"pomelo-request-id",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class RequestHead(msgspec.Struct, frozen=True):
    """The head of a request, read and checked.

    Attributes:
      service: the service asked for.
      method: the HTTP method.
      path: the path below the service, as it came, without the query.
      target: path and query, as they go to the executor.
      organisation: the organisation named.
      caller: the caller named.
      request_id: the id that the caller gave, None if it gave none.
      deadline_s: the time that the caller gives, in seconds; None if none.
      non_idempotent: whether it is marked as non-idempotent.
      key: its idempotency key, None if it has none.
      content_length: the length of its body, None if not told.
      forwarded: headers that go to the executor as they came.
    """

    service: ServiceName
    method: str
    path: str
    target: str
    organisation: OrganisationName
    caller: CallerName
    request_id: RequestId | None
    deadline_s: float | None
    non_idempotent: bool
    key: str | None
    content_length: int | None
    forwarded: tuple[tuple[str, str], ...]


class HeadError(msgspec.Struct, frozen=True):
    """A head that can't be taken, and why."""

    message: str


def read_head(scope: Scope) -> RequestHead | HeadError:
    """Reads the head of a request out of its ASGI scope."""
    known: dict[bytes, bytes] = {}
    forwarded: list[tuple[str, str]] = []
    for name, value in scope["headers"]:
        if name in _NOT_FORWARDED:
            if name in known and known[name] != value:
                return HeadError(f"{name.decode('latin-1')} is given twice")
            known[name] = value
        else:
            forwarded.append((name.decode("latin-1"), value.decode("latin-1")))
    error = _check(known)
    if error is not None:
        return error
    service, path, target = _split_path(scope)
    deadline = known.get(b"pomelo-deadline-ms")
    length = known.get(b"content-length")
    return RequestHead(
        service=ServiceName(service),
        method=scope["method"],
        path=path,
        target=target,
        organisation=OrganisationName(_text(known, b"pomelo-organisation")),
        caller=CallerName(_text(known, b"pomelo-caller")),
        request_id=_request_id(known),
        deadline_s=None if deadline is None else int(deadline) / 1000.0,
        non_idempotent=known.get(b"pomelo-non-idempotent", b"0") == b"1",
        key=_text(known, b"idempotency-key") or None,
        content_length=None if length is None else int(length),
        forwarded=tuple(forwarded),
    )


def route_class(service: Service, path: str) -> JobClassName | None:
    """Returns the class of a path: that of the longest matching route."""
    best = None
    for route in service.routes:
        prefix = route.path.rstrip("/")
        matches = path == prefix or path.startswith(prefix + "/")
        if matches and (best is None or len(route.path) > len(best.path)):
            best = route
    return None if best is None else best.job_class


def _check(known: Mapping[bytes, bytes]) -> HeadError | None:
    for name in _TEXTS:
        value = known.get(name, b"")
        if len(value) > _LONGEST_NAME or not value.isascii():
            return HeadError(
                f"{name.decode()} has to be ASCII, at most "
                f"{_LONGEST_NAME} characters"
            )
    for name in _NUMBERS:
        if name in known and not _DIGITS.fullmatch(known[name]):
            return HeadError(f"{name.decode()} has to be a whole number")
    if known.get(b"pomelo-non-idempotent", b"0") not in (b"0", b"1"):
        return HeadError("Pomelo-Non-Idempotent has to be 0 or 1")
    if int(known.get(b"pomelo-deadline-ms", b"0")) > _LONGEST_DEADLINE_MS:
        return HeadError("Pomelo-Deadline-Ms is longer than an hour")
    return None


def _split_path(scope: Scope) -> tuple[str, str, str]:
    raw = scope.get("raw_path") or scope["path"].encode()
    text = raw.decode("latin-1").partition("?")[0]
    below = text.partition(PREFIX)[2]
    service, slash, rest = below.partition("/")
    path = slash + rest or "/"
    query = scope.get("query_string", b"").decode("latin-1")
    return service, path, f"{path}?{query}" if query else path


def _text(known: Mapping[bytes, bytes], name: bytes) -> str:
    return known.get(name, b"").decode("latin-1")


def _request_id(known: Mapping[bytes, bytes]) -> RequestId | None:
    value = known.get(b"pomelo-request-id")
    if value is None or not _REQUEST_ID.fullmatch(value):
        return None
    return RequestId(value.decode("latin-1"))
