"""Documents, their schema and rules: every mistake is reported with its position, and the cost of reading
a document is bounded."""

import random
import time

import orjson
import pytest
from click.testing import CliRunner
from conftest import build_config
from hypothesis import given, settings
from hypothesis import strategies as st

from myrtleroad.config import commands, entries, rules, scanner, version
from myrtleroad.config.document import DocumentReader, read_document
from myrtleroad.config.narrowing import narrowed_settings
from myrtleroad.config.networks import LinearNetworks, Networks
from myrtleroad.config.request_limits import RequestLimits
from myrtleroad.net.node_config import decode_node_config

FRONT_LIMITS = rules.FrontLimits(
    routes={"look": rules.RouteLimits(800.0, 2000.0), "book": rules.RouteLimits(800.0, 2000.0)},
    tenants={"acme": 50.0},
    zones=("here", "there"),
    max_attempts=3,
    caps=(0.1, 0.5, 1.0),
    cap=0.1,
    control_host="192.0.2.7",
)
VALID_TEXT = b"""\
version 12 confirm=(s)30 note="after Lebaran"
routes {
    route "look" objective=(ms)700 timeout=(s)1.5 most-tries=2 retry-budget=0.2
    route book most-tries=1   // a bare word is a text
}
trial most-share=0.05
/- tenants { tenant "x" rate=(per-s)1e9 }
tenants { tenant "acme" rate=(per-min)600 most-open=200 }
networks default="admit" {
    /* a comment /* within another */
       over lines */
    refuse "10.1.7.0/24" note=#"crawlers "of" spring"# \\
        // the node goes on
    admit "10.1.7.9/32"; refuse "2001:db8::/32"
}
aside { machine "s-9"; zone "there"; }
log level="debug"
"""


def fault_positions(text, front_limits=FRONT_LIMITS):
    parsed = version.read(text, front_limits)
    return [(fault.code, fault.line, fault.column) for fault in parsed.faults]


def test_valid_version_is_read_completely_in_program_units():
    parsed = version.read(VALID_TEXT, FRONT_LIMITS)
    assert parsed.faults == [] and (parsed.number, parsed.confirm_ms, parsed.note) == (
        12,
        30000.0,
        "after Lebaran",
    )
    assert parsed.entries[("route", "look", "timeout")] == 1500.0
    assert parsed.entries[("tenant", "acme", "rate")] == 10.0
    assert ("tenant", "x", "rate") not in parsed.entries and parsed.positions[("network", "10.1.7.9/32")] == (
        14,
        5,
    )
    limits = rules.effective_limits(parsed.entries, FRONT_LIMITS)
    assert [
        limits.networks.admits(address) for address in ("10.1.7.8", "10.1.7.9", "9.9.9.9", "2001:db8::1")
    ] == [
        False,
        True,
        True,
        False,
    ]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"", [("schema", 1, 1)]),
        (b"version 1 2", [("schema", 1, 1)]),
        (b"version 0", [("range", 1, 1)]),
        (b"version 1.5", [("range", 1, 1)]),
        (b"version #true", [("range", 1, 1)]),
        (b"version (s)1", [("range", 1, 1)]),
        (b"version 1\nversion 2", [("duplicate", 2, 1)]),
        (b"version 1\n  trail most-share=0.1", [("schema", 2, 3)]),
        (b"version 1\ntrial", [("schema", 2, 1)]),
        (b"version 1\ntrial most-share=(s)0.1", [("range", 2, 1)]),
        (b"version 1\ntrial most-share=-0.1", [("range", 2, 1)]),
        (b"version 1\ntrial most-share=0.1 { x }", [("schema", 2, 24)]),
        (b'version 1\nroutes { route "look" timeout=800 }', [("range", 2, 10)]),
        (b'version 1\nroutes { route "look" timeout=(h)1 }', [("range", 2, 10)]),
        (
            b'version 1\nroutes { route "look" colour=1; route "look" }',
            [("schema", 2, 10), ("duplicate", 2, 33)],
        ),
        (b'version 1\nroutes { route "none" most-tries=1 }', [("reference", 2, 10)]),
        (
            b'version 1\nroutes { route "look" most-tries=4 timeout=(s)3 }',
            [("widens", 2, 10), ("widens", 2, 10)],
        ),
        (b'version 1\nroutes { route "look" objective=(ms)800 timeout=(ms)500 }', [("range", 0, 0)]),
        (b'version 1\ntenants { tenant "acme" rate=(per-s)51 }', [("widens", 2, 11)]),
        (b'version 1\ntenants { tenant "who" rate=(per-s)1 }', [("reference", 2, 11)]),
        (b"version 1\ntrial most-share=0.2", [("widens", 2, 1)]),
        (b'version 1\nnetworks { refuse "10.0.0.1/8" }', [("range", 2, 12)]),
        (b'version 1\nnetworks { refuse "10.0.0.0/8"; admit "10.0.0.0/8" }', [("duplicate", 2, 33)]),
        (b'version 1\nnetworks { refuse "192.0.2.0/24" }', [("control", 2, 12)]),
        (b'version 1\nnetworks default="refuse"', [("control", 0, 0)]),
        (b'version 1\naside { zone "here"; zone "there" }', [("control", 0, 0)]),
        (b'version 1\naside { zone "nowhere" }', [("reference", 2, 9)]),
        (b"version 1\n\xff", [("syntax", 2, 1)]),
        (b"version 1\na {", [("syntax", 2, 4)]),
        (b"version 1\n}", [("syntax", 2, 1)]),
        (b'version 1\n  note "x', [("syntax", 2, 8)]),
        (b"version 1\n/* never", [("syntax", 2, 1)]),
        (b"version 1\nlog level==1\ntrial", [("syntax", 2, 1), ("schema", 3, 1)]),
        (b"version 1\na {} b", [("syntax", 2, 6)]),
    ],
)
def test_each_mistake_is_reported_with_code_and_position(text, expected):
    assert fault_positions(text) == expected


def test_fault_text_names_found_and_expected_value():
    (fault,) = version.read(b'version 1\nroutes { route "look" timeout=800 }', FRONT_LIMITS).faults
    assert fault.describe("a.kdl") == (
        "a.kdl:2:10: range: route timeout: found 800, expected a duration from 1 to 3.6e+06 ms "
        "with a unit: (ms), (s), (min)"
    )


def test_all_mistakes_of_a_document_are_reported_together():
    text = b"version 1\n" + b"".join(b"wrong%d 1\n" % n for n in range(500))
    assert [line for _, line, _ in fault_positions(text)] == list(range(2, 502))


@pytest.mark.parametrize(
    "text",
    [
        b"version 1\n" + b"a {" * 1000 + b"}" * 1000,
        b"x" * (scanner.MAX_DOCUMENT_BYTES + 1),
        b"a;" * (scanner.MAX_NODES + 1),
        b'version 1\nnote "' + b"\\" * 100_001 + b'"',
        b"/*" * 20_000,
        b"a \\\n" * 20_000,
    ],
)
def test_costly_text_is_rejected_quickly(text):
    start = time.process_time()
    assert fault_positions(text)
    assert time.process_time() - start < 10.0


def test_no_slice_of_a_large_document_takes_a_large_share_of_the_time():
    text = b"version 1\nnetworks {\n" + b"".join(
        b'  refuse "10.%d.%d.0/24" note="n"\n' % divmod(n, 256) for n in range(10_000)
    )
    parsed, costs, last = version.Version(), [], time.process_time()
    for _ in version.read_in_slices(text + b"}\n", FRONT_LIMITS, parsed):
        now = time.process_time()
        costs.append(now - last)
        last = now
    assert len(parsed.entries) == 10_000 and not parsed.faults and len(costs) > 100
    assert sorted(costs)[-3] < 0.1 * sum(costs)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text(alphabet='ab1 "\\/*-{};=()#\n\t', max_size=60))
def test_any_text_is_read_without_error_and_positions_lie_within_it(text):
    nodes, found_faults = read_document(text.encode())
    lines = text.count("\n") + 1
    assert all(1 <= fault.line <= lines and fault.column >= 1 for fault in found_faults)
    assert all(1 <= node.line <= lines for node in nodes)


def test_invalid_node_does_not_hide_its_siblings():
    reader = DocumentReader(b"a 1\nb ==\nc 3\n")
    list(reader.read_in_slices())
    assert [node.name for node in reader.roots] == ["a", "c"] and len(reader.faults) == 1


# --- effective limits ---


def test_later_lower_cap_applies_at_once_and_the_version_stays():
    parsed = version.read(b"version 1\ntrial most-share=0.1", FRONT_LIMITS)
    assert not parsed.faults
    for cap, value, source in (
        (0.1, 0.1, "told"),
        (0.5, 0.1, "version"),
        (0.02, 0.02, "told"),
        (0.0, 0.0, "told"),
    ):
        front_limits = rules.FrontLimits(
            **{field_name: getattr(FRONT_LIMITS, field_name) for field_name in FRONT_LIMITS.__slots__}
            | {"cap": cap}
        )
        assert rules.effective_limits(parsed.entries, front_limits).trial_share == rules.EffectiveValue(
            value, source
        )


def test_effective_objective_never_exceeds_the_timeout():
    parsed = version.read(b'version 1\nroutes { route "look" timeout=(ms)500 }', FRONT_LIMITS)
    assert rules.effective_limits(parsed.entries, FRONT_LIMITS).routes["look"][
        "objective"
    ] == rules.EffectiveValue(500.0, "told")


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_longest_prefix_lookup_agrees_with_linear_search(seed):
    rng = random.Random(seed)
    prefixes = {}
    for _ in range(30):
        bits = rng.randrange(0, 33)
        base = rng.getrandbits(32) >> (32 - bits) << (32 - bits) if bits else 0
        prefixes[f"{base >> 24}.{base >> 16 & 255}.{base >> 8 & 255}.{base & 255}/{bits}"] = (
            rng.random() < 0.5
        )
    networks, reference = Networks(prefixes.items()), LinearNetworks(prefixes.items())
    for prefix in prefixes:
        address = prefix.partition("/")[0]
        assert networks.admits(address) == reference.admits(address)
    with pytest.raises(ValueError):
        networks.admits("no address")


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.dictionaries(st.tuples(st.sampled_from("ab"), st.text("xyz", max_size=2)), st.integers(0, 3)),
    st.dictionaries(st.tuples(st.sampled_from("ab"), st.text("xyz", max_size=2)), st.integers(0, 3)),
)
def test_difference_transforms_entries_in_both_directions(one, other):
    old, new = entries.NO_ENTRIES.update(one), entries.NO_ENTRIES.update(other)
    there, back = entries.diff(old, new), entries.diff(new, old)
    assert entries.apply_delta(old, there) == new and entries.apply_delta(new, back) == old
    assert (entries.content_digest(old) == entries.content_digest(new)) == (one == other) == (len(there) == 0)


# --- the command line ---


@pytest.fixture
def run(tmp_path):
    """Runs ``config`` on files that are given by their texts. Returns the exit code and the output."""

    def invoke(*arguments, **texts):
        for name, text in texts.items():
            (tmp_path / f"{name}.kdl").write_bytes(text)
        (tmp_path / "node.json").write_bytes(orjson.dumps(build_config()))
        paths = [
            str(tmp_path / argument) if argument.endswith((".kdl", ".json")) else argument
            for argument in arguments
        ]
        result = CliRunner().invoke(commands.config, paths)
        return result.exit_code, result.output.replace(f"{tmp_path}/", "")

    return invoke


def test_check_reports_every_mistake_of_every_file_and_exits_with_1(run):
    exit_code, output = run("check", "a.kdl", "b.kdl", a=b"version 1", b=b"version 0\ntrail")
    assert exit_code == 1 and output.splitlines()[0] == "a.kdl: version 1, 0 entries, fine"
    assert [line[:10] for line in output.splitlines()[1:]] == ["b.kdl:1:1:", "b.kdl:2:1:"]
    assert run("check", "a.kdl", a=b"version 1")[0] == 0 and run("check", "none.kdl")[0] == 2
    exit_code, output = run("check", "--json", "b.kdl", b=b"version 0")
    assert exit_code == 1 and orjson.loads(output)[0]["code"] == "range"


def test_check_against_a_front_applies_the_rules(run):
    text = b'version 1\nroutes { route "look" most-tries=9 }'
    assert run("check", "a.kdl", a=text)[0] == 0
    exit_code, output = run("check", "a.kdl", "--against", "node.json", a=text)
    assert exit_code == 1 and "widens" in output


def test_diff_and_show(run):
    old = b'version 1\ntrial most-share=0.1\nroutes { route "look" most-tries=1 }'
    new = b'version 2\nroutes { route "look" most-tries=2 timeout=(s)1 }'
    assert run("diff", "a.kdl", "a.kdl", a=old) == (0, "")
    exit_code, output = run("diff", "a.kdl", "b.kdl", a=old, b=new)
    assert exit_code == 1 and output.splitlines() == [
        "~ route look most-tries: 1 -> 2",
        "+ route look timeout: 1000.0",
        "- trial most-share: 0.1",
    ]
    exit_code, output = run("show", "b.kdl", "--against", "node.json", b=new)
    assert (
        exit_code == 0
        and "route look most-tries: 2 (b.kdl:2:10)" in output
        and "route book most-tries: 3 (told)" in output
    )
    assert run("show", "a.kdl", "--against", "node.json", a=b"version 0")[0] == 1


# --- request limits and narrowed settings ---


def test_rate_and_open_requests_limit_only_their_tenant():
    parsed = version.read(b'version 1\ntenants { tenant "acme" rate=(per-s)2 most-open=3 }', FRONT_LIMITS)
    request_limits = RequestLimits()
    request_limits.update(rules.effective_limits(parsed.entries, FRONT_LIMITS), 0.0)
    assert [request_limits.admit("acme", 0.0) for _ in range(2)] == [None, None]
    assert request_limits.admit("acme", 0.0) == pytest.approx(500.0) and request_limits.admit(
        "acme", 499.0
    ) == pytest.approx(1.0)
    # Three requests are open.
    assert request_limits.admit("acme", 500.0) is None and request_limits.admit("acme", 5000.0) == 500.0
    request_limits.release("acme")
    assert request_limits.admit("acme", 5000.0) is None and request_limits.admit("other", 0.0) is None
    request_limits.update(None, 6000.0)
    assert [request_limits.admit("acme", 6000.0) for _ in range(50)] == [None] * 50 and len(
        request_limits.usage
    ) == 1


def test_quota_of_the_settings_alone_refuses_no_request():
    request_limits = RequestLimits()
    request_limits.update(rules.effective_limits(entries.NO_ENTRIES, FRONT_LIMITS), 0.0)
    assert [request_limits.admit("acme", 0.0) for _ in range(200)] == [None] * 200


def test_settings_are_narrowed_and_never_widened():
    node_config = decode_node_config(orjson.dumps(build_config()))
    parsed = version.read(
        b'version 1\nroutes { route "look" timeout=(ms)900 most-tries=1 }\ntrial most-share=0.05'
    )
    limits = rules.effective_limits(parsed.entries, node_config.limits())
    narrowed = narrowed_settings(node_config.facts, limits, ["look", "book"], ["acme"])
    look, book = narrowed.settings.routes
    assert (look.timeout_ms, look.objective_ms, look.max_attempts) == (900.0, 800.0, 1)
    assert (book.timeout_ms, book.max_attempts, narrowed.max_trial_share) == (2000.0, 3, 0.05)
    wide = version.read(b'version 1\nroutes { route "look" timeout=(s)90 most-tries=99 }')
    narrowed = narrowed_settings(
        node_config.facts,
        rules.effective_limits(wide.entries, node_config.limits()),
        ["look", "book"],
        ["acme"],
    )
    assert narrowed.settings.routes[0].timeout_ms == 2000.0 and narrowed.settings.routes[0].max_attempts == 3
