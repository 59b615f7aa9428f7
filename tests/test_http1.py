import gevent
import pytest
from gevent import socket

from myrtleroad.net import http1

REQ = b"POST /api?x=1 HTTP/1.1\r\nHost: h\r\nX-Txn: 9b\r\nX-Remaining-Ms: 480\r\n"
REQ += b"Content-Length: 5\r\n\r\nhello"


def fed(*chunks):
    reader, whole = http1.RequestParser(), []
    for chunk in chunks:
        data = memoryview(chunk)
        while data:
            data = data[reader.feed(data) :]
            if reader.whole:
                whole.append(reader.take())
    return whole


@pytest.mark.parametrize("cut", range(1, len(REQ)))
def test_a_req_is_read_whole_wherever_it_is_split(cut):
    (message,) = fed(REQ[:cut], REQ[cut:])
    assert (message.method, message.target, message.body) == (b"POST", b"/api?x=1", b"hello")
    assert message.header(b"x-txn") == b"9b"


def test_two_reqs_in_one_read():
    assert [m.body for m in fed(REQ + REQ)] == [b"hello", b"hello"]


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
def test_unfit_input_is_told_apart(chunks, status):
    with pytest.raises(http1.HttpError) as unfit:
        fed(*chunks)
    assert unfit.value.status == status


def test_the_largest_body_passes():
    (message,) = fed(b"POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n", b"a" * 65536)
    assert len(message.body) == 65536


def test_of_many_reqs_in_one_read_one_is_taken_and_the_rest_are_left():
    reader, data = http1.RequestParser(), REQ * 300
    assert reader.feed(data) == len(REQ) and reader.whole
    assert reader.feed(data) == 0


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
def test_framing_that_may_hide_another_req_is_refused(lines, status):
    with pytest.raises(http1.HttpError) as unfit:
        fed(b"POST /api HTTP/1.1\r\nX-Txn: 1\r\n" + lines + b"\r\n\r\n0\r\n\r\n")
    assert unfit.value.status == status


def test_what_trails_a_chunked_body_is_no_header_and_a_req_behind_it_ends_the_connection():
    chunked = b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 3000
    (message,) = fed(chunked + b"0\r\nX-Txn: 7\r\n\r\n")
    assert message.body == b"a" * 3000 and message.header(b"x-txn") is None and message.keep_alive
    (first,) = fed(chunked + b"0\r\n\r\n" + REQ)
    assert first.body == b"a" * 3000 and not first.keep_alive


def test_a_field_that_came_twice_is_told_apart():
    (message,) = fed(b"GET /api HTTP/1.1\r\nX-Txn: 1\r\nx-txn: 2\r\nHost: h\r\n\r\n")
    assert message.single_value(b"x-txn") is None and message.single_value(b"host") == b"h"


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def answered(*chunks, stream=False):
    reader = http1.ResponseParser(stream)
    for chunk in chunks:
        reader.feed(memoryview(chunk))
    return reader


@pytest.mark.parametrize(
    "ahead", [b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" * 3]
)
def test_1xx_answers_ahead_are_skipped(ahead):
    for chunks in ([ahead + OK], [ahead, OK]):
        reader = answered(*chunks)
        assert reader.complete and reader.response.keep_alive
        assert (reader.response.status, reader.response.body, len(reader.response.headers)) == (
            200,
            [b"hi"],
            1,
        )
    assert not answered(ahead).complete


@pytest.mark.parametrize("behind", [OK.replace(b"hi", b"no"), b"\xff\xfenoise", b"HTTP/1.1 404 No\r\n\r\n"])
def test_what_comes_behind_a_whole_answer_is_no_part_of_it(behind):
    # Guards against a second copy taking the place of the answer, or noise making it a failure.
    reader = answered(OK + behind)
    assert reader.complete and not reader.response.keep_alive
    assert (reader.response.status, reader.response.body) == (200, [b"hi"])


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
def test_a_spoilt_answer_is_unfit_and_bounded(chunks):
    with pytest.raises(http1.HttpError):
        answered(*chunks)


def test_a_stream_may_go_on_for_long():
    reader = answered(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        *[b"8000\r\n" + b"x" * 32768 + b"\r\n"] * 9,
        stream=True,
    )
    assert not reader.complete


def test_forwarding_changes_only_framing_and_the_time_left():
    (message,) = fed(REQ.replace(b"Host: h", b"Host: h\r\nConnection: close\r\nX-Lane: look"))
    sent = b"".join(http1.forwarded_request(message, 333))
    assert sent.startswith(b"POST /api?x=1 HTTP/1.1\r\n") and sent.endswith(b"\r\n\r\nhello")
    for line in (b"X-Txn: 9b", b"X-Lane: look", b"X-Remaining-Ms: 333", b"Content-Length: 5"):
        assert sent.count(line + b"\r\n") == 1
    assert b"480" not in sent and b"Connection" not in sent


def test_a_get_goes_on_without_a_body():
    (message,) = fed(b"GET /api HTTP/1.1\r\nX-Txn: 1\r\n\r\n")
    assert b"Content-Length" not in b"".join(http1.forwarded_request(message, 1))


def test_a_write_longer_than_the_system_takes_at_once_arrives_whole():
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    parts = [b"head", b"x" * 50_000, b"", b"tail" * 5000]
    writer = gevent.spawn(http1.send, ours, parts)
    got = b""
    while len(got) < 70_004:
        got += theirs.recv(65536)
    writer.join()
    assert got == b"".join(parts)


def test_looking_at_an_idle_connection_does_not_wait():
    # A look that waited for bytes held up a machine's actor, and every try behind it, until they came.
    ours, theirs = socket.socketpair()
    looks = gevent.spawn(http1.is_stale, ours)
    gevent.sleep(0)
    assert looks.ready() and looks.value is False
    theirs.close()
    assert http1.is_stale(ours)


def test_unasked_bytes_make_a_connection_unfit_for_use():
    ours, theirs = socket.socketpair()
    theirs.send(b"HTTP/1.1 408 Late\r\n\r\n")
    assert http1.is_stale(ours)
