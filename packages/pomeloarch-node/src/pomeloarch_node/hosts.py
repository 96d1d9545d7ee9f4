"""The newest list of hosts known to this node, and its subscribers."""

from __future__ import annotations

import asyncio

from pomeloarch_node.platform import Host, HostKind


class HostDirectory:
    """Holds the newest list of hosts and notifies subscribers of changes.

    The list is out of date at times, so what hosts report themselves takes
    precedence over it.
    """

    def __init__(self) -> None:
        """Creates an empty directory."""
        self._hosts: tuple[Host, ...] = ()
        self._queues: list[asyncio.Queue[tuple[Host, ...]]] = []

    def hosts(self, kind: HostKind) -> tuple[Host, ...]:
        """Returns the hosts of a kind."""
        return tuple(host for host in self._hosts if host.kind is kind)

    def replace(self, hosts: tuple[Host, ...]) -> None:
        """Replaces the list with a newer one."""
        if hosts == self._hosts:
            return
        self._hosts = hosts
        for queue in self._queues:
            queue.put_nowait(hosts)

    def subscribe(self) -> asyncio.Queue[tuple[Host, ...]]:
        """Returns a queue of the current list and all newer ones."""
        queue: asyncio.Queue[tuple[Host, ...]] = asyncio.Queue()
        queue.put_nowait(self._hosts)
        self._queues.append(queue)
        return queue
