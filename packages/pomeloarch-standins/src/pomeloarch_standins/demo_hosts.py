"""Stops, kills and suspends the nodes of the demo by their process ids."""

from __future__ import annotations

import os
import pathlib
import signal


class DemoHosts:
    """The processes of the nodes, which the demo's script starts.

    Args:
      work: the folder to which the script writes the process ids.
    """

    def __init__(self, work: pathlib.Path) -> None:
        """Creates the controller of a run's processes."""
        self._work = work

    def pid(self, node: str) -> int:
        """Returns the id of a node's current process."""
        return int((self._work / f"{node}.pid").read_text())

    def exit_codes(self, node: str) -> list[int]:
        """Returns the exit codes of a node's processes that have ended."""
        path = self._work / f"{node}.exits"
        if not path.exists():
            return []
        return [int(line) for line in path.read_text().split()]

    def stop(self, node: str) -> None:
        """Starts a planned stop of a node."""
        os.kill(self.pid(node), signal.SIGTERM)

    def kill(self, node: str) -> None:
        """Kills a node's process."""
        os.kill(self.pid(node), signal.SIGKILL)

    def suspend(self, node: str) -> None:
        """Suspends a node's process."""
        os.kill(self.pid(node), signal.SIGSTOP)

    def resume(self, node: str) -> None:
        """Resumes a suspended process."""
        os.kill(self.pid(node), signal.SIGCONT)
