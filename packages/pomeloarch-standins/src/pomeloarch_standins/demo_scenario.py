"""The paths, organisations and jobs that the demo uses of each example."""

from __future__ import annotations

import msgspec

from pomeloarch_standins.demo_jobs import DemoJob


class Scenario(msgspec.Struct, frozen=True):
    """The requests and jobs of one example.

    Attributes:
      urgent_path: the path of urgent requests.
      once_path: the path of requests that run at most once.
      flood_path: the path of the requests of the flood.
      small: the organisation and caller that send few requests.
      large: the organisation and caller that send far more.
      gang: a job on several hosts of a rack.
      borrower: a job that occupies a whole rack with a guaranteed shape in it.
      owner: the job that reclaims the guaranteed shape.
      grace_s: the grace that the borrower gets when preempted, in seconds.
    """

    urgent_path: str
    once_path: str
    flood_path: str
    small: tuple[str, str]
    large: tuple[str, str]
    gang: DemoJob
    borrower: DemoJob
    owner: DemoJob
    grace_s: float = 10.0


SCENARIOS = {
    "shrestha": Scenario(
        urgent_path="/dye-checks/1",
        once_path="/certificates/1",
        flood_path="/knot-density/1",
        small=("estates", "widow"),
        large=("kathmandu-auctions", "auction-house"),
        gang=DemoJob("shrestha", "archive-matching", 4, 8, 4.0, "boudha"),
        borrower=DemoJob(
            "kathmandu-auctions", "archive-matching", 8, 8, 60.0, "patan"
        ),
        owner=DemoJob("shrestha", "archive-matching", 4, 8, 2.0, "patan"),
    ),
    "qasr": Scenario(
        urgent_path="/offers/1",
        once_path="/bids/1",
        flood_path="/moisture-reports/1",
        small=("suppliers", "yard"),
        large=("zarqa-coir", "buyer"),
        gang=DemoJob("qasr", "lot-scoring", 4, 8, 4.0, "amman-c"),
        borrower=DemoJob("zarqa-coir", "lot-scoring", 8, 8, 60.0, "amman-a"),
        owner=DemoJob("qasr", "lot-scoring", 4, 8, 2.0, "amman-a"),
    ),
}
