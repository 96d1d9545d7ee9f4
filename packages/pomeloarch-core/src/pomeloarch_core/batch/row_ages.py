"""For how long rows that are to be deleted have not changed."""

from __future__ import annotations

from collections.abc import Mapping


class RowAges:
    """Remembers since when rows have been waiting to be deleted.

    Args:
      min_age_s: how long a row has to wait unchanged, in seconds.
    """

    def __init__(self, min_age_s: float) -> None:
        """Starts without rows."""
        self._min_age_s = min_age_s
        self._since: dict[str, tuple[int, float]] = {}

    def find_ripe(self, versions: Mapping[str, int], now: float) -> list[str]:
        """Returns the keys of the rows that have waited long enough.

        Rows that are not waiting any more are forgotten.

        Args:
          versions: the versions of the rows that are waiting, by key.
          now: the present time, in seconds of a steady clock.
        """
        since = {}
        for key, version in versions.items():
            known = self._since.get(key)
            if known is None or known[0] != version:
                known = version, now
            since[key] = known
        self._since = since
        return [
            key for key, (_, at) in since.items() if now - at >= self._min_age_s
        ]
