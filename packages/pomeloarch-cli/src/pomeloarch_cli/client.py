"""Calls to nodes over HTTP, the next one when one does not answer."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import msgspec
from absl import logging
from result import Err, Ok, Result

_CONNECT_TIMEOUT_S = 3.0
_UNAVAILABLE = frozenset({502, 503, 504})


class Reply(msgspec.Struct, frozen=True):
    """A node's answer.

    Attributes:
      node: the URL of the node.
      status: the HTTP status.
      body: the decoded JSON, or the text where it is not JSON.
    """

    node: str
    status: int
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the node did what it was asked for."""
        return self.status < 400

    def field(self, name: str, default: Any = "") -> Any:
        """Returns a field of the body, or the default without one."""
        if isinstance(self.body, Mapping):
            return self.body.get(name, default)
        return default


class NoAnswer(msgspec.Struct, frozen=True):
    """No node gave an answer that settles the call.

    Attributes:
      reasons: what happened at each node.
      in_doubt: whether a node may have carried the call out.
    """

    reasons: tuple[str, ...]
    in_doubt: bool


class NodeClient:
    """Calls nodes in their order until one answers.

    Every call that changes something carries an id by which a second node
    recognises it, so going on to the next node never does it twice.

    Args:
      session: the HTTP session; the caller closes it.
      nodes: the URLs of nodes.
      timeout_s: time that one node is given, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        nodes: Sequence[str],
        timeout_s: float = 30.0,
    ) -> None:
        """Keeps the session and the nodes."""
        self._session = session
        self._nodes = tuple(node.rstrip("/") for node in nodes)
        self._timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
        )

    async def get(
        self, path: str, params: Mapping[str, str] | None = None
    ) -> Result[Reply, NoAnswer]:
        """Reads something from the first node that answers."""
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
        """Calls nodes in turn until one gives an answer that settles it.

        Args:
          method: the HTTP method.
          path: the path with its leading slash.
          params: the query.
          body: sent as JSON, unless None.
          headers: further headers.

        Returns:
          The answer, or what happened at each node.
        """
        data = None if body is None else msgspec.json.encode(body)
        sent = {"Content-Type": "application/json"} if body is not None else {}
        attempts = _Attempts(changes=method != "GET")
        for node in self._nodes:
            answer = await self._ask(
                node, method, path, params, data, {**sent, **(headers or {})}
            )
            if attempts.settles(node, answer):
                return answer.map_err(lambda _: attempts.no_answer())
        return attempts.outcome()

    async def _ask(
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
                return Ok(Reply(node, response.status, _decoded(content)))
        except (aiohttp.ClientError, TimeoutError) as exc:
            return Err(exc)


class _Attempts:
    """What the nodes asked so far have said."""

    def __init__(self, *, changes: bool) -> None:
        self._changes = changes
        self._reasons: list[str] = []
        self._in_doubt = False
        self._last: Reply | None = None

    def settles(
        self,
        node: str,
        answer: Result[Reply, aiohttp.ClientError | TimeoutError],
    ) -> bool:
        """Notes an answer; returns whether no other node need be asked."""
        if isinstance(answer, Ok):
            reply = answer.ok_value
            if reply.ok and not isinstance(reply.body, Mapping):
                self._in_doubt = True
                self._note(f"{node}: the answer is not that of a node")
                return False
            # A refusal by one node does not undo what another may have done.
            if reply.ok or not (self._doubtful or _unavailable(reply)):
                return True
            self._last = reply
            self._in_doubt |= reply.field("outcome") != "not_run"
            self._note(f"{node}: {reply.status} {reply.field('title')}")
            return False
        exc = answer.err_value
        if not isinstance(exc, aiohttp.ClientConnectorError):
            self._in_doubt = True
        self._note(f"{node}: {exc or 'no answer in time'}")
        return False

    def outcome(self) -> Result[Reply, NoAnswer]:
        """Returns the last answer when it settles the call after all."""
        if self._last is not None and not self._doubtful:
            return Ok(self._last)
        return Err(self.no_answer())

    def no_answer(self) -> NoAnswer:
        """Returns what happened at each node."""
        return NoAnswer(tuple(self._reasons), self._doubtful)

    @property
    def _doubtful(self) -> bool:
        return self._in_doubt and self._changes

    def _note(self, reason: str) -> None:
        logging.debug("%s", reason)
        self._reasons.append(reason)


def _unavailable(reply: Reply) -> bool:
    return reply.status in _UNAVAILABLE


def _decoded(content: bytes) -> Any:
    try:
        return msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return content.decode(errors="replace")
