"""What is known of a request once its head was taken."""

from __future__ import annotations

import msgspec

from pomeloarch_core.ids import JobClassName, RequestId
from pomeloarch_core.objects.model import Service
from pomeloarch_core.routing import Flow, ServiceRouter
from pomeloarch_node.request_head import RequestHead
from pomeloarch_node.upstream_client import Hold


class KnownRequest(msgspec.Struct, frozen=True):
    """A request whose head was taken.

    Attributes:
      head: its head.
      service: the service that it asks.
      router: that service's decisions.
      job_class: its class.
      request_id: its id.
      deadline: when its caller stops waiting, in seconds of the clock.
    """

    head: RequestHead
    service: Service
    router: ServiceRouter
    job_class: JobClassName
    request_id: RequestId
    deadline: float

    @property
    def flow(self) -> Flow:
        """Whose request it is."""
        return Flow(self.job_class, self.head.organisation, self.head.caller)

    @property
    def idempotent(self) -> bool:
        """Whether it may be sent again after a doubt."""
        return not (self.head.non_idempotent or self.head.key)


class HeldBody(msgspec.Struct, frozen=True):
    """A request's whole body, and what takes memory beside it.

    Attributes:
      content: the body.
      hold: takes memory for an answer, until the request has ended.
    """

    content: bytes
    hold: Hold
