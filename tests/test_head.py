import gevent
import pytest
from gevent import socket

from myrtleroad.net import head

REQ = b"POST /api?x=1 HTTP/1.1\r\nHost: h\r\nX-Txn: 9b\r\nX-Remaining-Ms: 480\r\n"
REQ += b"Content-Length: 5\r\n\r\nhello"


def fed(*chunks):
    reader, whole = head.Requests(), []
    for chunk in chunks:
        whole += reader.feed(memoryview(chunk))
    return whole


@pytest.mark.parametrize("cut", range(1, len(REQ)))
def test_a_req_is_read_whole_wherever_it_is_split(cut):
    (message,) = fed(REQ[:cut], REQ[cut:])
    assert (message.method, message.target, b"".join(message.body)) == (b"POST", b"/api?x=1", b"hello")
    assert message.header(b"x-txn") == b"9b"


def test_two_reqs_in_one_read():
    assert [b"".join(m.body) for m in fed(REQ + REQ)] == [b"hello", b"hello"]


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
        ([b"CONNECT h:1 HTTP/1.1\r\n\r\n"], 400),
    ],
)
def test_unfit_input_is_told_apart(chunks, status):
    with pytest.raises(head.Unfit) as unfit:
        fed(*chunks)
    assert unfit.value.status == status


def test_the_largest_body_passes():
    (message,) = fed(b"POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n", b"a" * 65536)
    assert message.size == 65536


def test_forwarding_changes_only_framing_and_the_time_left():
    (message,) = fed(REQ.replace(b"Host: h", b"Host: h\r\nConnection: close\r\nX-Lane: look"))
    sent = b"".join(head.forwarded(message, 333))
    assert sent.startswith(b"POST /api?x=1 HTTP/1.1\r\n") and sent.endswith(b"\r\n\r\nhello")
    for line in (b"X-Txn: 9b", b"X-Lane: look", b"X-Remaining-Ms: 333", b"Content-Length: 5"):
        assert sent.count(line + b"\r\n") == 1
    assert b"480" not in sent and b"Connection" not in sent


def test_a_get_goes_on_without_a_body():
    (message,) = fed(b"GET /api HTTP/1.1\r\nX-Txn: 1\r\n\r\n")
    assert b"Content-Length" not in b"".join(head.forwarded(message, 1))


def test_a_write_longer_than_the_system_takes_at_once_arrives_whole():
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    parts = [b"head", b"x" * 50_000, b"", b"tail" * 5000]
    writer = gevent.spawn(head.write, ours, parts)
    got = b""
    while len(got) < 70_004:
        got += theirs.recv(65536)
    writer.join()
    assert got == b"".join(parts)


def test_looking_at_an_idle_connection_does_not_wait():
    # A look that waited for bytes held up a machine's actor, and every try behind it, until they came.
    ours, theirs = socket.socketpair()
    looks = gevent.spawn(head.closed, ours)
    gevent.sleep(0)
    assert looks.ready() and looks.value is False
    theirs.close()
    assert head.closed(ours)


def test_unasked_bytes_make_a_connection_unfit_for_use():
    ours, theirs = socket.socketpair()
    theirs.send(b"HTTP/1.1 408 Late\r\n\r\n")
    assert head.closed(ours)
