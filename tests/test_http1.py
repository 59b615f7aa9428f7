"""Parsing and writing of HTTP/1.1 messages."""

import gevent
import pytest
from gevent import socket

from myrtleroad.net import http1, socket_io

REQUEST = b"POST /api?x=1 HTTP/1.1\r\nHost: h\r\nX-Txn: 9b\r\nX-Remaining-Ms: 480\r\n"
REQUEST += b"Content-Length: 5\r\n\r\nhello"


def parse_requests(*chunks):
    parser, messages = http1.RequestParser(), []
    for chunk in chunks:
        data = memoryview(chunk)
        while data:
            data = data[parser.feed(data) :]
            if parser.complete:
                messages.append(parser.take_message())
    return messages


@pytest.mark.parametrize("cut", range(1, len(REQUEST)))
def test_request_is_parsed_wherever_it_is_split(cut):
    (message,) = parse_requests(REQUEST[:cut], REQUEST[cut:])
    assert (message.method, message.target, message.body) == (b"POST", b"/api?x=1", b"hello")
    assert message.header(b"x-txn") == b"9b"


def test_two_requests_in_one_read_are_both_parsed():
    assert [message.body for message in parse_requests(REQUEST + REQUEST)] == [b"hello", b"hello"]


@pytest.mark.parametrize(
    ("chunks", "status"),
    [
        ([b"nonsense\r\n\r\n"], 400),
        ([b"POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n"], 400),
        ([b"POST /api HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello"], 400),
        ([b"GET /api HTTP/1.1\r\nA: " + b"a" * 9000, b"a" * 9000], 431),
        ([b"GET /api HTTP/1.1\r\nA: " + b"a" * 17000 + b"\r\n\r\n"], 431),
        ([b"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"], 413),
        ([b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + b"a" * 65537], 413),
    ],
)
def test_invalid_request_gets_its_status(chunks, status):
    with pytest.raises(http1.HttpError) as error:
        parse_requests(*chunks)
    assert error.value.status == status


def test_body_of_the_maximum_size_is_accepted():
    (message,) = parse_requests(b"POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n", b"a" * 65536)
    assert len(message.body) == 65536


def test_feed_stops_at_the_end_of_the_first_request():
    parser, data = http1.RequestParser(), REQUEST * 300
    assert parser.feed(data) == len(REQUEST) and parser.complete
    assert parser.feed(data) == 0


@pytest.mark.parametrize(
    ("lines", "status"),
    [
        (b"Content-Length: 3\r\nTransfer-Encoding: chunked", 400),
        (b"transfer-encoding: chunked\r\ncontent-length: 3", 400),
        (b"Transfer-Encoding: gzip, chunked", 501),
        (b"Transfer-Encoding: xchunked", 501),
        (b"Transfer-Encoding : chunked\r\nContent-Length: 3", 400),
        (b"Content-Length: -3", 400),
        (b"Content-Length: +3", 400),
        (b"Content-Length: 3, 3", 400),
        (b"Content-Length: 3\r\nContent-Length: 3", 400),
        (b"Content-Length: 99999999999999999999999", 400),
        (b"Content-Length: 60000000", 413),
        (b"Content-Length: 3\r\nExpect: a-miracle", 417),
        (b"A: b\r\n c", 400),
        (b"A : b", 400),
        (b"A: b\x00c", 400),
        (b"A: b\nC: d", 400),
    ],
)
def test_framing_that_may_hide_another_request_is_rejected(lines, status):
    with pytest.raises(http1.HttpError) as error:
        parse_requests(b"POST /api HTTP/1.1\r\nX-Txn: 1\r\n" + lines + b"\r\n\r\n0\r\n\r\n")
    assert error.value.status == status


def test_chunked_trailers_are_no_headers_and_a_request_after_them_ends_the_connection():
    chunked = b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 3000
    (message,) = parse_requests(chunked + b"0\r\nX-Txn: 7\r\n\r\n")
    assert message.body == b"a" * 3000 and message.header(b"x-txn") is None and message.keep_alive
    (first,) = parse_requests(chunked + b"0\r\n\r\n" + REQUEST)
    assert first.body == b"a" * 3000 and not first.keep_alive


def test_repeated_header_has_no_single_value():
    (message,) = parse_requests(b"GET /api HTTP/1.1\r\nX-Txn: 1\r\nx-txn: 2\r\nHost: h\r\n\r\n")
    assert message.single_value(b"x-txn") is None and message.single_value(b"host") == b"h"


OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def parse_response(*chunks, stream=False):
    parser = http1.ResponseParser(stream)
    for chunk in chunks:
        parser.feed(memoryview(chunk))
    return parser


@pytest.mark.parametrize(
    "interim", [b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" * 3]
)
def test_1xx_responses_before_the_final_one_are_skipped(interim):
    for chunks in ([interim + OK_RESPONSE], [interim, OK_RESPONSE]):
        parser = parse_response(*chunks)
        assert parser.complete and parser.response.keep_alive
        assert (parser.response.status, parser.response.body, len(parser.response.headers)) == (
            200,
            [b"hi"],
            1,
        )
    assert not parse_response(interim).complete


@pytest.mark.parametrize(
    "trailing", [OK_RESPONSE.replace(b"hi", b"no"), b"\xff\xfenoise", b"HTTP/1.1 404 No\r\n\r\n"]
)
def test_bytes_after_a_complete_response_do_not_change_it(trailing):
    # A second response must not replace the first, and invalid bytes must not turn it into a failure.
    parser = parse_response(OK_RESPONSE + trailing)
    assert parser.complete and not parser.response.keep_alive
    assert (parser.response.status, parser.response.body) == (200, [b"hi"])


@pytest.mark.parametrize(
    "chunks",
    [
        [b"\x00\xffnoise"],
        [b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", b"x" * 60000],
        [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            *[b"8000\r\n" + b"x" * 32768 + b"\r\n"] * 3,
        ],
        [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\n\r\nhi"],
        [b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"],
        [b"HTTP/1.1 200 OK\r\n", *[b"A: " + b"a" * 1000 + b"\r\n"] * 20],
        [b"HTTP/1.1 100 Continue\r\n\r\n"] * 1000,
    ],
)
def test_invalid_or_too_long_response_is_rejected(chunks):
    with pytest.raises(http1.HttpError):
        parse_response(*chunks)


def test_stream_body_has_no_size_limit():
    parser = parse_response(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        *[b"8000\r\n" + b"x" * 32768 + b"\r\n"] * 9,
        stream=True,
    )
    assert not parser.complete


def test_forwarded_request_differs_only_in_framing_and_remaining_time():
    (message,) = parse_requests(REQUEST.replace(b"Host: h", b"Host: h\r\nConnection: close\r\nX-Lane: look"))
    sent = b"".join(http1.forwarded_request(message, 333))
    assert sent.startswith(b"POST /api?x=1 HTTP/1.1\r\n") and sent.endswith(b"\r\n\r\nhello")
    for line in (b"X-Txn: 9b", b"X-Lane: look", b"X-Remaining-Ms: 333", b"Content-Length: 5"):
        assert sent.count(line + b"\r\n") == 1
    assert b"480" not in sent and b"Connection" not in sent


def test_forwarded_get_has_no_content_length():
    (message,) = parse_requests(b"GET /api HTTP/1.1\r\nX-Txn: 1\r\n\r\n")
    assert b"Content-Length" not in b"".join(http1.forwarded_request(message, 1))


def test_data_larger_than_the_send_buffer_arrives_whole():
    local, remote = socket.socketpair()
    local.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    parts = [b"head", b"x" * 50_000, b"", b"tail" * 5000]
    writer = gevent.spawn(socket_io.send, local, parts)
    received = b""
    while len(received) < 70_004:
        received += remote.recv(65536)
    writer.join()
    assert received == b"".join(parts)


def test_check_of_an_idle_connection_does_not_block():
    # A check that waited for bytes would block the actor of a server, and every attempt queued there, until
    # they came.
    local, remote = socket.socketpair()
    check = gevent.spawn(socket_io.is_stale, local)
    gevent.sleep(0)
    assert check.ready() and check.value is False
    remote.close()
    assert socket_io.is_stale(local)


def test_connection_with_unrequested_bytes_is_stale():
    local, remote = socket.socketpair()
    remote.send(b"HTTP/1.1 408 Late\r\n\r\n")
    assert socket_io.is_stale(local)
