"""The memory that servers, discovery, the platform and the control service can make a front hold."""

import gevent
import orjson
import pytest
from conftest import Peer, build_node_config, discovery_entry, null_log
from hypothesis import given
from hypothesis import strategies as st
from test_front import SERVER_ADDRESS, build_dispatcher
from test_peers import CHUNKED, build_discovery_client, start_following
from test_request_memory import LONG_BODY, fed, memory_of
from test_upstream_server import OK, answer_with, build_server, run_attempt

from myrtleroad.config.frames import encode_frame
from myrtleroad.net import discovery, dispatcher, http1, json_stream, node_config
from myrtleroad.net.clock import Clock
from myrtleroad.net.config_versions import ConfigVersions
from myrtleroad.net.counters import Counters


def test_an_answer_in_small_chunks_takes_no_more_memory_than_its_bytes():
    # Guards against the cause of review case 3 in servers' answers, fetched lists and answers to votes.
    assert memory_of(lambda: fed(http1.ResponseParser(), CHUNKED + LONG_BODY)) < 2 * 60_000


def test_an_answer_has_a_hundred_header_lines_at_most():
    # Guards against the same in the heads of answers.
    with pytest.raises(http1.HttpError):
        fed(http1.ResponseParser(), b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 101 + b"Content-Length: 0\r\n\r\n")


def test_an_idle_connection_keeps_nothing_of_its_last_answer():
    # Guards against 64 KiB for each idle connection to a server.
    actor, results = build_server(Peer(answer_with(OK)).address)
    assert b"".join(run_attempt(actor, results).result.body) == b"hi"
    while not actor.idle_connections:
        gevent.sleep(0.001)
    assert not actor.idle_connections[0].parser.response.body


def test_an_object_on_many_short_lines_takes_no_more_memory_than_its_bytes():
    # Guards against a list on short lines that is held as an object for each of them.
    def read():
        reader = json_stream.JsonObjectReader(discovery.LIST_KEY)
        for line in [b'{"a":[', *[b"1,"] * 100_000]:
            reader.feed(line)
        return reader

    assert memory_of(read) < 2 * 300_000


def test_servers_beyond_the_limit_end_their_stream():
    # Guards against changes that name new servers without end.
    client, _ = build_discovery_client()
    connection = start_following(client)
    for number in range(100):
        entries = [discovery_entry(f"s-{number}-{i}", SERVER_ADDRESS) for i in range(100)]
        line = orjson.dumps({"generation": 8 + number, "reset": False, "instances": entries}) + b"\n"
        connection.split_lines(line)
        client.process_mailbox()
    assert len(client.server_list.entries) <= discovery.MAX_SERVERS
    assert connection.number not in client.streams


def test_a_server_with_a_long_name_is_unreadable():
    # Guards against names as long as a list, each kept for as long as its server is listed.
    long_name, long_address = "s" * 300, ("h" * 300, 80)
    entries = [discovery_entry(long_name, SERVER_ADDRESS), discovery_entry("s-1", long_address)]
    servers, invalid = node_config.listed_servers(entries, {}, {})
    assert not servers and invalid == [long_name, "s-1"]


def test_a_list_of_more_values_than_its_servers_can_have_is_not_decoded():
    # Guards against short values, which take twenty times their bytes once they are decoded.
    client, _ = build_discovery_client()
    client.memory.limits.servers = 1024
    for values in (b"{}," * 200_000, b"[]," * 200_000):
        with pytest.raises(ValueError, match="too many values"):
            client.decode_list(b'{"generation":9,"reset":true,"instances":[' + values + b"{}]}", 0)


@given(st.binary(max_size=60).map(lambda text: bytes(b'"\\{}[],'[byte % 7] for byte in text)))
def test_nesting_of_a_line_in_pieces_is_that_of_the_whole(line):
    # Guards against the pieces, which keep the strings of a long list from being held at once.
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(json_stream, "PIECE_BYTES", 4)
        assert json_stream.nesting_change(line) == json_stream.nesting_change_of_whole(line)


def test_servers_that_leave_the_list_start_no_greenlets_and_updates_do_not_pile_up():
    # Guards against lists with ever new servers: 10 kB for each that left, and hundreds of lists that wait.
    actor = build_dispatcher(discovery_entry("s-0", SERVER_ADDRESS))
    for number in range(1, 50):
        before = list(actor.servers.values())
        entries = [discovery_entry(f"s-{number}", SERVER_ADDRESS)]
        data = {"generation": 8 + number, "reset": True, "instances": entries}
        actor.post_update(node_config.server_listing(data, {"here": 0}, {"small": 0}))
        assert len(actor.priority_queue) <= dispatcher.MAX_QUEUED_UPDATES
        assert not any(server.is_active for server in before)


def test_servers_that_left_the_list_are_forgotten():
    # Guards against a number kept for each server ID that was ever listed.
    actor = build_dispatcher(discovery_entry("s-0", SERVER_ADDRESS))
    for number in range(1, 50):
        entries = [discovery_entry(f"s-{number}", SERVER_ADDRESS)]
        data = {"generation": 8 + number, "reset": True, "instances": entries}
        actor.process(node_config.server_listing(data, {"here": 0}, {"small": 0}), actor.clock())
    assert list(actor.server_numbers) == ["s-49"] and list(actor.server_ids.values()) == ["s-49"]


def test_frames_wait_in_the_systems_buffer_while_the_ledger_is_busy():
    # Guards against a control service whose frames arrive faster than they are processed.
    def send_frames(sock):
        sock.recv(1000)
        sock.sendall(encode_frame("alive") * 100_000)
        gevent.event.Event().wait()

    versions = ConfigVersions(
        Peer(send_frames).address,
        build_node_config(),
        Clock(),
        Counters(),
        null_log,
        lambda limits: None,
        lambda: None,
    )
    reader = gevent.spawn(versions.connect)
    gevent.sleep(1.5)
    assert 0 < versions.mailbox.qsize() < 20_000
    reader.kill()
