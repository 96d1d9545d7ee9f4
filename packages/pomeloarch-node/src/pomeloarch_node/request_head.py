"""Parses and checks the heads of callers' requests."""

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
_MAX_DEADLINE_MS = 3_600_000
_MAX_TEXT_BYTES = 128
_NUMBER = re.compile(rb"[0-9]{1,9}")

_TEXT_HEADERS = (b"pomelo-organisation", b"pomelo-caller", b"idempotency-key")
_NUMBER_HEADERS = (b"pomelo-deadline-ms", b"content-length")

# Headers that apply to a single connection, and those that this node reads
# or sets itself.
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
    """The parsed and checked head of a request.

    Attributes:
      service: the requested service.
      method: the HTTP method.
      path: the path below the service, as received, without the query.
      target: the path and query sent to the executor.
      organisation: the value of Pomelo-Organisation.
      caller: the value of Pomelo-Caller.
      request_id: the caller's id of the request, None if it gave none.
      deadline_s: the time after which the caller stops waiting, in seconds;
        None if it gave none.
      non_idempotent: whether the request is marked as non-idempotent.
      idempotency_key: the idempotency key, None if there is none.
      content_length: the length of the body in bytes, None if it is unknown.
      forwarded: the headers that are sent to the executor unchanged.
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
    idempotency_key: str | None
    content_length: int | None
    forwarded: tuple[tuple[str, str], ...]


class HeadError(msgspec.Struct, frozen=True):
    """The reason why a request head is invalid."""

    message: str


def read_head(scope: Scope) -> RequestHead | HeadError:
    """Reads a request's head from its ASGI scope."""
    own_headers: dict[bytes, bytes] = {}
    forwarded: list[tuple[str, str]] = []
    for name, value in scope["headers"]:
        if name in _NOT_FORWARDED:
            if name in own_headers and own_headers[name] != value:
                return HeadError(f"{name.decode('latin-1')} is given twice")
            own_headers[name] = value
        else:
            forwarded.append((name.decode("latin-1"), value.decode("latin-1")))
    error = _find_error(own_headers)
    if error is not None:
        return error
    service, path, target = _split_path(scope)
    deadline = own_headers.get(b"pomelo-deadline-ms")
    length = own_headers.get(b"content-length")
    return RequestHead(
        service=ServiceName(service),
        method=scope["method"],
        path=path,
        target=target,
        organisation=OrganisationName(
            _text(own_headers, b"pomelo-organisation")
        ),
        caller=CallerName(_text(own_headers, b"pomelo-caller")),
        request_id=_request_id(own_headers),
        deadline_s=None if deadline is None else int(deadline) / 1000.0,
        non_idempotent=own_headers.get(b"pomelo-non-idempotent", b"0") == b"1",
        idempotency_key=_text(own_headers, b"idempotency-key") or None,
        content_length=None if length is None else int(length),
        forwarded=tuple(forwarded),
    )


def match_job_class(service: Service, path: str) -> JobClassName | None:
    """Returns the job class of the longest route that matches a path."""
    best = None
    for route in service.routes:
        prefix = route.path.rstrip("/")
        matches = path == prefix or path.startswith(prefix + "/")
        if matches and (best is None or len(route.path) > len(best.path)):
            best = route
    return None if best is None else best.job_class


def _find_error(own_headers: Mapping[bytes, bytes]) -> HeadError | None:
    for name in _TEXT_HEADERS:
        value = own_headers.get(name, b"")
        if len(value) > _MAX_TEXT_BYTES or not value.isascii():
            return HeadError(
                f"{name.decode()} has to be ASCII, at most "
                f"{_MAX_TEXT_BYTES} characters"
            )
    for name in _NUMBER_HEADERS:
        if name in own_headers and not _NUMBER.fullmatch(own_headers[name]):
            return HeadError(f"{name.decode()} has to be a whole number")
    if own_headers.get(b"pomelo-non-idempotent", b"0") not in (b"0", b"1"):
        return HeadError("Pomelo-Non-Idempotent has to be 0 or 1")
    if int(own_headers.get(b"pomelo-deadline-ms", b"0")) > _MAX_DEADLINE_MS:
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


def _text(own_headers: Mapping[bytes, bytes], name: bytes) -> str:
    return own_headers.get(name, b"").decode("latin-1")


def _request_id(own_headers: Mapping[bytes, bytes]) -> RequestId | None:
    value = own_headers.get(b"pomelo-request-id")
    if value is None or not _REQUEST_ID.fullmatch(value):
        return None
    return RequestId(value.decode("latin-1"))
