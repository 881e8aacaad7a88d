"""What is counted, and logged, of requests and their attempts."""

from __future__ import annotations

from cloverhold.net.exchange import Exchange
from cloverhold.net.open_request import OpenRequest
from cloverhold.net.telemetry import Ending, Happening, Telemetry
from cloverhold.permission import VIOLATIONS, Denial


class RequestLog:
    """Tells the telemetry of a process what became of requests, with their ids."""

    def __init__(self, telemetry: Telemetry) -> None:
        self.telemetry = telemetry

    def request_ended(self, exchange: Exchange, ending: Ending, status: int, attempts: int = 0) -> None:
        """A request has its final answer, or needs none. attempts: how many were made."""
        if ending is Ending.SERVED:
            self.telemetry.count(Happening.REQUEST_ENDED, ending.value)
            return
        name, kind = exchange.request.fields.get(b"x-call-id", b""), exchange.asked.kind.name
        self.telemetry.event(
            Happening.REQUEST_ENDED, ending.value, id=name, kind=kind, status=status, attempts=attempts
        )

    def attempt_begun(self, opened: OpenRequest, number: int, server: str) -> None:
        """An attempt is made; number: how many were made before."""
        if number == 0:
            self.telemetry.count(Happening.ATTEMPT_BEGUN, "first")
            return
        before = opened.last_status.name if opened.last_status is not None else "OUT"
        self.telemetry.event(
            Happening.ATTEMPT_BEGUN, "retry", id=opened.call_id(), number=number, server=server, before=before
        )

    def send_denied(self, opened: OpenRequest, number: int, server: str, denial: Denial) -> None:
        """An attempt that was asked for is not made."""
        happening = Happening.RULE_VIOLATED if denial in VIOLATIONS else Happening.ACT_DENIED
        self.telemetry.event(happening, denial.value, id=opened.call_id(), number=number, server=server)

    def answer_late(self, opened: OpenRequest, status: int, denial: Denial) -> None:
        """A final answer is given so late that its request counts as lost."""
        self.telemetry.event(Happening.RULE_VIOLATED, denial.value, id=opened.call_id(), status=status)
