"""The final answers that a client gets."""

from dataclasses import dataclass
from http import HTTPStatus

from myrtleroad import interface as i
from myrtleroad.net.exchange_result import UpstreamResponse
from myrtleroad.net.http1 import CONTENT_LENGTH, HOP_BY_HOP

STRIPPED_HEADERS = HOP_BY_HOP | {
    CONTENT_LENGTH,
    b"x-pressure",
    b"x-turned-away",
}  # between machines and us, not the client's affair


@dataclass(slots=True)
class Response:
    kind: str  # for the counters
    status: int
    head: list[bytes]
    body: list[bytes]

    def parts(self, close: bool) -> list[bytes]:
        size = sum(map(len, self.body))
        line = b"HTTP/1.1 %d %s\r\n" % (self.status, HTTPStatus(self.status).phrase.encode())
        end = b"Connection: close\r\n\r\n" if close else b"\r\n"
        return [b"".join((line, *self.head, b"Content-Length: %d\r\n" % size, end)), *self.body]


def completed(answer: UpstreamResponse) -> Response:
    head = [n + b": " + v + b"\r\n" for n, v in answer.headers if n.lower() not in STRIPPED_HEADERS]
    # One part, however many pieces came: a gathered write has a limit of parts (IOV_MAX).
    return Response("completed", 200, head, [b"".join(answer.body)])


def shed(come_back_ms: float) -> Response:
    head = [b"Retry-After: %.3f\r\n" % (come_back_ms / 1000)] if come_back_ms > 0 else []
    return Response("shed", 503, head, [])


def overloaded(settings: i.Settings) -> Response:
    """To a req that waited too long and was sent nowhere. It may come back as late as may be told: this front
    is full, whatever the machines are."""
    return shed(settings.max_retry_after_ms if settings.retry_after_allowed else 0.0)


def bad_gateway() -> Response:
    return Response("errored", 502, [], [])


def rejected(status: int) -> Response:
    """Bad input, told once; never with a status that says a repeat is harmless."""
    return Response(f"unfit_{status}", status, [], [])


def readiness(is_ready: bool) -> Response:
    return Response("ready" if is_ready else "not_ready", 200 if is_ready else 503, [], [])
