"""Stops, kills and freezes the nodes of the demo, by their process ids."""

from __future__ import annotations

import os
import pathlib
import signal


class DemoHosts:
    """The processes of the nodes, which the demo's script starts.

    Args:
      work: the folder in which the script keeps the process ids.
    """

    def __init__(self, work: pathlib.Path) -> None:
        """Keeps the folder."""
        self._work = work

    def pid(self, node: str) -> int:
        """Returns the process id of a node at present."""
        return int((self._work / f"{node}.pid").read_text())

    def exits(self, node: str) -> list[int]:
        """Returns the exit codes of a node's ended processes."""
        path = self._work / f"{node}.exits"
        if not path.exists():
            return []
        return [int(line) for line in path.read_text().split()]

    def stop(self, node: str) -> None:
        """Begins a planned stop."""
        os.kill(self.pid(node), signal.SIGTERM)

    def kill(self, node: str) -> None:
        """Ends the process at once."""
        os.kill(self.pid(node), signal.SIGKILL)

    def freeze(self, node: str) -> None:
        """Halts the process where it is."""
        os.kill(self.pid(node), signal.SIGSTOP)

    def thaw(self, node: str) -> None:
        """Lets a frozen process go on."""
        os.kill(self.pid(node), signal.SIGCONT)
