"""Reads the body of a publication within limits on its size and time."""

from __future__ import annotations

import asyncio

import msgspec
from result import Err, Ok, Result
from starlette.requests import ClientDisconnect, Request

from pomeloarch_core.objects.check import check_documents
from pomeloarch_core.objects.findings import Finding, SourceText
from pomeloarch_core.objects.parser import ParsedObjects, parse_documents
from pomeloarch_node.operators_messages import PublishBody
from pomeloarch_node.publications import RequestRefused

MAX_BODY_BYTES = 8_000_000
BODY_TIMEOUT_S = 30.0


async def read_body(
    request: Request, timeout_s: float = BODY_TIMEOUT_S
) -> Result[PublishBody, RequestRefused]:
    """Reads a body; refuses one that is too large, too slow or invalid.

    Args:
      request: the request.
      timeout_s: time in which the whole body has to arrive, in seconds.
    """
    content = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.stream():
                content += chunk
                if len(content) > MAX_BODY_BYTES:
                    message = f"the body is above {MAX_BODY_BYTES:,} bytes"
                    return Err(RequestRefused("body_too_large", message))
    except TimeoutError:
        message = f"the body did not arrive within {timeout_s:g} s"
        return Err(RequestRefused("body_too_slow", message))
    except ClientDisconnect:
        message = "the connection was closed before the body was complete"
        return Err(RequestRefused("bad_request", message))
    try:
        return Ok(msgspec.json.decode(bytes(content), type=PublishBody))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        message = f"the body is not valid: {exc}"
        return Err(RequestRefused("bad_request", message))


def parse_body(body: PublishBody) -> Result[ParsedObjects, list[Finding]]:
    """Parses the documents of a publication.

    Documents that form a whole set of objects are also checked as a set.
    """
    texts = [
        SourceText(document.path, document.text.encode(errors="replace"))
        for document in body.documents or ()
    ]
    if body.removed is None:
        return check_documents(texts)
    return parse_documents(texts)
