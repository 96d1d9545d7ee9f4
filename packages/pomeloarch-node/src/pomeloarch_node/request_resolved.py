"""A request with the service, job class and deadline that apply to it."""

from __future__ import annotations

import msgspec

from pomeloarch_core.ids import JobClassName, RequestId
from pomeloarch_core.objects.model import Service
from pomeloarch_core.routing import Flow, ServiceRouter
from pomeloarch_node.request_head import RequestHead
from pomeloarch_node.upstream_client import ReserveMemory


class ResolvedRequest(msgspec.Struct, frozen=True):
    """A request matched to its service in the configuration.

    Attributes:
      head: the parsed request head.
      service: the requested service.
      router: the routing state of the service.
      job_class: the request's job class.
      request_id: the caller's id of the request, or a generated one.
      deadline: when the caller stops waiting, in seconds of the clock.
    """

    head: RequestHead
    service: Service
    router: ServiceRouter
    job_class: JobClassName
    request_id: RequestId
    deadline: float

    @property
    def flow(self) -> Flow:
        """The job class, organisation and caller, by which requests queue."""
        return Flow(self.job_class, self.head.organisation, self.head.caller)

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be sent again when it may have run."""
        return not (self.head.non_idempotent or self.head.idempotency_key)


class BufferedBody(msgspec.Struct, frozen=True):
    """A request's complete body and the means to reserve more memory.

    Attributes:
      content: the body.
      reserve: reserves memory for an answer until the request has ended.
    """

    content: bytes
    reserve: ReserveMemory
