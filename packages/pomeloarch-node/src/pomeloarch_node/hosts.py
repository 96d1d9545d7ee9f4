"""The latest list of hosts that this node could get, from wherever."""

from __future__ import annotations

import asyncio

from pomeloarch_node.platform import Host, HostKind


class HostDirectory:
    """Holds the newest list of hosts and tells subscribers of each change.

    The list lags: it is a hint, and what hosts say themselves goes first.
    """

    def __init__(self) -> None:
        """Starts with no host known."""
        self._hosts: tuple[Host, ...] = ()
        self._queues: list[asyncio.Queue[tuple[Host, ...]]] = []

    def hosts(self, kind: HostKind) -> tuple[Host, ...]:
        """Returns the hosts of a kind."""
        return tuple(host for host in self._hosts if host.kind is kind)

    def replace(self, hosts: tuple[Host, ...]) -> None:
        """Takes a newer list."""
        if hosts == self._hosts:
            return
        self._hosts = hosts
        for queue in self._queues:
            queue.put_nowait(hosts)

    def subscribe(self) -> asyncio.Queue[tuple[Host, ...]]:
        """Returns a queue of lists, with the present one first."""
        queue: asyncio.Queue[tuple[Host, ...]] = asyncio.Queue()
        queue.put_nowait(self._hosts)
        self._queues.append(queue)
        return queue
