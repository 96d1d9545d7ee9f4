"""Sends answers and problem documents to callers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from typing import Any

import msgspec

from pomeloarch_core.ids import RequestId
from pomeloarch_node.request_problems import Failure
from pomeloarch_node.upstream_client import UpstreamAnswer

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

# Headers of an answer that apply to a single connection or that this node's
# server sets itself.
_NOT_RETURNED = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "pomelo-draining",
        "pomelo-load",
        "proxy-authenticate",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def returned_headers(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Returns the headers of an executor's answer that callers receive."""
    return [
        (lowered, value)
        for name, value in headers.items()
        if (lowered := name.lower()) not in _NOT_RETURNED
    ]


async def send_answer(
    send: Send, answer: UpstreamAnswer, request_id: RequestId, *, closing: bool
) -> None:
    """Sends an executor's complete answer to the caller.

    Args:
      send: the ASGI send function of the request.
      answer: the answer.
      request_id: the request's id, which is added to the headers.
      closing: whether the caller's connection is closed after the answer.
    """
    headers: Headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in returned_headers(answer.headers or {})
    ]
    headers.append((b"pomelo-request-id", request_id.encode()))
    await _send(send, answer.status, headers, answer.body, closing=closing)


async def send_failure(send: Send, failed: Failure, *, closing: bool) -> None:
    """Sends a problem document to the caller.

    Args:
      send: the ASGI send function of the request.
      failed: the failure to report.
      closing: whether the caller's connection is closed after the answer.
    """
    headers: Headers = [(b"content-type", b"application/problem+json")]
    if failed.retry_after_s is not None:
        seconds = max(1, round(failed.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    body = msgspec.json.encode(failed.problem)
    await _send(send, failed.problem.status, headers, body, closing=closing)


async def _send(
    send: Send, status: int, headers: Headers, body: bytes, *, closing: bool
) -> None:
    headers.append((b"content-length", str(len(body)).encode()))
    if closing:
        headers.append((b"connection", b"close"))
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
