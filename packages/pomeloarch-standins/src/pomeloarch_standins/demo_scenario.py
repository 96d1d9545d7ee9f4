"""What the demo does with each example: paths, organisations and jobs."""

from __future__ import annotations

import msgspec

from pomeloarch_standins.demo_jobs import JobAsk


class Scenario(msgspec.Struct, frozen=True):
    """The requests and jobs of one example.

    Attributes:
      urgent_path: requests that somebody waits for.
      once_path: requests that run at most once.
      flood_path: requests that flood in.
      small: the caller that asks for little, as organisation and caller.
      large: the caller that asks for far more.
      gang: a long job over several hosts of a rack.
      borrower: a job that takes up a whole rack with a guarantee in it.
      owner: the job that reclaims the guaranteed shape.
      grace_s: the borrower's grace, in seconds.
    """

    urgent_path: str
    once_path: str
    flood_path: str
    small: tuple[str, str]
    large: tuple[str, str]
    gang: JobAsk
    borrower: JobAsk
    owner: JobAsk
    grace_s: float = 10.0


SCENARIOS = {
    "shrestha": Scenario(
        urgent_path="/dye-checks/1",
        once_path="/certificates/1",
        flood_path="/knot-density/1",
        small=("estates", "widow"),
        large=("kathmandu-auctions", "auction-house"),
        gang=JobAsk("shrestha", "archive-matching", 4, 8, 4.0, "boudha"),
        borrower=JobAsk(
            "kathmandu-auctions", "archive-matching", 8, 8, 60.0, "patan"
        ),
        owner=JobAsk("shrestha", "archive-matching", 4, 8, 2.0, "patan"),
    ),
    "qasr": Scenario(
        urgent_path="/offers/1",
        once_path="/bids/1",
        flood_path="/moisture-reports/1",
        small=("suppliers", "yard"),
        large=("zarqa-coir", "buyer"),
        gang=JobAsk("qasr", "lot-scoring", 4, 8, 4.0, "amman-c"),
        borrower=JobAsk("zarqa-coir", "lot-scoring", 8, 8, 60.0, "amman-a"),
        owner=JobAsk("qasr", "lot-scoring", 4, 8, 2.0, "amman-a"),
    ),
}
