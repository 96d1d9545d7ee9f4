"""HTTP client for nodes, which fails over to the next node."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import msgspec
from absl import logging
from result import Err, Ok, Result

_CONNECT_TIMEOUT_S = 3.0
_UNAVAILABLE_STATUSES = frozenset({502, 503, 504})


class Reply(msgspec.Struct, frozen=True):
    """The answer of a node.

    Attributes:
      node: the URL of the node.
      status: the HTTP status.
      body: the decoded JSON, or the text when it is not JSON.
    """

    node: str
    status: int
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the node carried out the call."""
        return self.status < 400

    def field(self, name: str, default: Any = "") -> Any:
        """Returns a field of the body, or the default when it is missing."""
        if isinstance(self.body, Mapping):
            return self.body.get(name, default)
        return default


class NoAnswer(msgspec.Struct, frozen=True):
    """No node gave a conclusive answer to a call.

    Attributes:
      reasons: what happened at each node.
      may_have_run: whether a node may have made the change that was called
        for; false for a call that only reads.
    """

    reasons: tuple[str, ...]
    may_have_run: bool


class NodeClient:
    """Calls nodes in order until one answers.

    Every call that changes something carries an id by which a second node
    recognises it, so that a retry at the next node never applies it twice.

    Args:
      session: the HTTP session; the caller closes it.
      nodes: the URLs of the nodes.
      timeout_s: how long to wait for the answer of one node, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        nodes: Sequence[str],
        timeout_s: float = 30.0,
    ) -> None:
        """Creates a client; sends nothing yet."""
        self._session = session
        self._nodes = tuple(node.rstrip("/") for node in nodes)
        self._timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
        )

    async def get(
        self, path: str, params: Mapping[str, str] | None = None
    ) -> Result[Reply, NoAnswer]:
        """Reads a resource from the first node that answers."""
        return await self.call("GET", path, params=params)

    async def call(
        self,
        method: str,
        path: str,
        *,
        params: Mapping[str, str] | None = None,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[Reply, NoAnswer]:
        """Calls nodes in order until one gives a conclusive answer.

        Args:
          method: the HTTP method.
          path: the path with its leading slash.
          params: the query parameters.
          body: the body, which is sent as JSON; None for no body.
          headers: additional headers.

        Returns:
          The answer, or what happened at each node.
        """
        data = None if body is None else msgspec.json.encode(body)
        content_headers = (
            {"Content-Type": "application/json"} if body is not None else {}
        )
        attempts = _Attempts(changes=method != "GET")
        for node in self._nodes:
            answer = await self._send(
                node,
                method,
                path,
                params,
                data,
                {**content_headers, **(headers or {})},
            )
            if attempts.record(node, answer):
                return answer.map_err(lambda _: attempts.no_answer())
        return attempts.outcome()

    async def _send(
        self,
        node: str,
        method: str,
        path: str,
        params: Mapping[str, str] | None,
        data: bytes | None,
        headers: Mapping[str, str],
    ) -> Result[Reply, aiohttp.ClientError | TimeoutError]:
        try:
            async with self._session.request(
                method,
                node + path,
                params=params,
                data=data,
                headers=headers,
                timeout=self._timeout,
            ) as response:
                content = await response.read()
                return Ok(Reply(node, response.status, _decode(content)))
        except (aiohttp.ClientError, TimeoutError) as exc:
            return Err(exc)


class _Attempts:
    """The outcomes of one call at the nodes called so far.

    Args:
      changes: whether the call changes something.
    """

    def __init__(self, *, changes: bool) -> None:
        self._changes = changes
        self._reasons: list[str] = []
        self._may_have_run = False
        self._last_refusal: Reply | None = None

    def record(
        self,
        node: str,
        answer: Result[Reply, aiohttp.ClientError | TimeoutError],
    ) -> bool:
        """Records an answer; returns whether it is conclusive."""
        if isinstance(answer, Ok):
            reply = answer.ok_value
            if reply.ok and not isinstance(reply.body, Mapping):
                self._may_have_run = True
                self._add_reason(f"{node}: the answer is not that of a node")
                return False
            # A refusal is not conclusive while an earlier node may have carried
            # out the call.
            if reply.ok or not (
                self._outcome_unknown or _is_unavailable(reply)
            ):
                return True
            self._last_refusal = reply
            self._may_have_run |= reply.field("outcome") != "not_run"
            self._add_reason(f"{node}: {reply.status} {reply.field('title')}")
            return False
        exc = answer.err_value
        if not isinstance(exc, aiohttp.ClientConnectorError):
            self._may_have_run = True
        self._add_reason(f"{node}: {exc or 'no answer in time'}")
        return False

    def outcome(self) -> Result[Reply, NoAnswer]:
        """Returns the last refusal if no node can have made a change."""
        if self._last_refusal is not None and not self._outcome_unknown:
            return Ok(self._last_refusal)
        return Err(self.no_answer())

    def no_answer(self) -> NoAnswer:
        """Returns what happened at each node."""
        return NoAnswer(tuple(self._reasons), self._outcome_unknown)

    @property
    def _outcome_unknown(self) -> bool:
        return self._may_have_run and self._changes

    def _add_reason(self, reason: str) -> None:
        logging.debug("%s", reason)
        self._reasons.append(reason)


def _is_unavailable(reply: Reply) -> bool:
    return reply.status in _UNAVAILABLE_STATUSES


def _decode(content: bytes) -> Any:
    try:
        return msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return content.decode(errors="replace")
