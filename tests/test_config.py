"""Documents, their schema and rules: every mistake is told, with its place, and none costs more than a
bound."""

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

TOLD = rules.FrontLimits(
    routes={"look": rules.RouteLimits(800.0, 2000.0), "book": rules.RouteLimits(800.0, 2000.0)},
    tenants={"acme": 50.0},
    zones=("here", "there"),
    max_attempts=3,
    caps=(0.1, 0.5, 1.0),
    cap=0.1,
    control_host="192.0.2.7",
)
GOOD = b"""\
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


def faults(text, told=TOLD):
    v = version.read(text, told)
    return [(f.code, f.line, f.column) for f in v.faults]


def test_a_good_version_is_read_whole_in_the_programs_units():
    v = version.read(GOOD, TOLD)
    assert v.faults == [] and (v.number, v.confirm_ms, v.note) == (12, 30000.0, "after Lebaran")
    assert v.entries[("route", "look", "timeout")] == 1500.0
    assert v.entries[("tenant", "acme", "rate")] == 10.0
    assert ("tenant", "x", "rate") not in v.entries and v.positions[("network", "10.1.7.9/32")] == (14, 5)
    b = rules.effective_limits(v.entries, TOLD)
    assert [b.networks.admits(a) for a in ("10.1.7.8", "10.1.7.9", "9.9.9.9", "2001:db8::1")] == [
        False,
        True,
        True,
        False,
    ]


@pytest.mark.parametrize(
    ("text", "want"),
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
def test_each_mistake_is_told_with_its_code_and_place(text, want):
    assert faults(text) == want


def test_what_was_found_and_what_is_allowed_are_both_said():
    (fault,) = version.read(b'version 1\nroutes { route "look" timeout=800 }', TOLD).faults
    assert fault.describe("a.kdl") == (
        "a.kdl:2:10: range: route timeout: found 800, allowed is a duration from 1 to 3.6e+06 ms "
        "with a unit, as (ms), (s), (min)"
    )


def test_all_mistakes_of_a_document_are_told_in_one_go():
    text = b"version 1\n" + b"".join(b"wrong%d 1\n" % n for n in range(500))
    assert [line for _, line, _ in faults(text)] == list(range(2, 502))


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
def test_a_text_made_to_cost_is_told_and_ends_soon(text):
    begin = time.process_time()
    assert faults(text)
    assert time.process_time() - begin < 10.0


def test_no_slice_of_a_large_document_holds_its_caller_for_its_share_of_the_whole():
    text = b"version 1\nnetworks {\n" + b"".join(
        b'  refuse "10.%d.%d.0/24" note="n"\n' % divmod(n, 256) for n in range(10_000)
    )
    into, costs, last = version.Version(), [], time.process_time()
    for _ in version.read_in_slices(text + b"}\n", TOLD, into):
        now = time.process_time()
        costs.append(now - last)
        last = now
    assert len(into.entries) == 10_000 and not into.faults and len(costs) > 100
    assert sorted(costs)[-3] < 0.1 * sum(costs)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text(alphabet='ab1 "\\/*-{};=()#\n\t', max_size=60))
def test_no_text_breaks_the_reader_and_places_lie_within_it(text):
    nodes, wrong = read_document(text.encode())
    lines = text.count("\n") + 1
    assert all(1 <= f.line <= lines and f.column >= 1 for f in wrong)
    assert all(1 <= n.line <= lines for n in nodes)


def test_one_bad_node_hides_none_of_those_beside_it():
    reading = DocumentReader(b"a 1\nb ==\nc 3\n")
    list(reading.read_in_slices())
    assert [n.name for n in reading.roots] == ["a", "c"] and len(reading.faults) == 1


# --- in effect ---


def test_the_cap_that_falls_later_holds_at_once_and_the_version_stays():
    v = version.read(b"version 1\ntrial most-share=0.1", TOLD)
    assert not v.faults
    for cap, value, by in (
        (0.1, 0.1, "told"),
        (0.5, 0.1, "version"),
        (0.02, 0.02, "told"),
        (0.0, 0.0, "told"),
    ):
        told = rules.FrontLimits(**{n: getattr(TOLD, n) for n in TOLD.__slots__} | {"cap": cap})
        assert rules.effective_limits(v.entries, told).trial_share == rules.EffectiveValue(value, by)


def test_an_effective_objective_is_never_over_its_timeout():
    v = version.read(b'version 1\nroutes { route "look" timeout=(ms)500 }', TOLD)
    assert rules.effective_limits(v.entries, TOLD).routes["look"]["objective"] == rules.EffectiveValue(
        500.0, "told"
    )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_longest_prefixes_decide_as_a_plain_list_does(seed):
    r = random.Random(seed)
    nets = {}
    for _ in range(30):
        bits = r.randrange(0, 33)
        base = r.getrandbits(32) >> (32 - bits) << (32 - bits) if bits else 0
        nets[f"{base >> 24}.{base >> 16 & 255}.{base >> 8 & 255}.{base & 255}/{bits}"] = r.random() < 0.5
    made, plain = Networks(nets.items()), LinearNetworks(nets.items())
    for prefix in nets:
        address = prefix.partition("/")[0]
        assert made.admits(address) == plain.admits(address)
    with pytest.raises(ValueError):
        made.admits("no address")


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.dictionaries(st.tuples(st.sampled_from("ab"), st.text("xyz", max_size=2)), st.integers(0, 3)),
    st.dictionaries(st.tuples(st.sampled_from("ab"), st.text("xyz", max_size=2)), st.integers(0, 3)),
)
def test_a_difference_leads_from_one_content_to_the_other_and_back(one, other):
    a, b = entries.NO_ENTRIES.update(one), entries.NO_ENTRIES.update(other)
    there, back = entries.diff(a, b), entries.diff(b, a)
    assert entries.apply_delta(a, there) == b and entries.apply_delta(b, back) == a
    assert (entries.content_digest(a) == entries.content_digest(b)) == (one == other) == (len(there) == 0)


# --- the command line ---


@pytest.fixture
def run(tmp_path):
    """Runs ``config`` over files given by their texts; exit code and what was printed."""

    def call(*words, **texts):
        for name, text in texts.items():
            (tmp_path / f"{name}.kdl").write_bytes(text)
        (tmp_path / "node.json").write_bytes(orjson.dumps(build_config()))
        paths = [str(tmp_path / w) if w.endswith((".kdl", ".json")) else w for w in words]
        result = CliRunner().invoke(commands.config, paths)
        return result.exit_code, result.output.replace(f"{tmp_path}/", "")

    return call


def test_check_says_every_mistake_of_every_file_and_fails_by_its_exit_code(run):
    code, said = run("check", "a.kdl", "b.kdl", a=b"version 1", b=b"version 0\ntrail")
    assert code == 1 and said.splitlines()[0] == "a.kdl: version 1, 0 entries, fine"
    assert [line[:10] for line in said.splitlines()[1:]] == ["b.kdl:1:1:", "b.kdl:2:1:"]
    assert run("check", "a.kdl", a=b"version 1")[0] == 0 and run("check", "none.kdl")[0] == 2
    code, said = run("check", "--json", "b.kdl", b=b"version 0")
    assert code == 1 and orjson.loads(said)[0]["code"] == "range"


def test_check_against_a_front_holds_the_rules(run):
    text = b'version 1\nroutes { route "look" most-tries=9 }'
    assert run("check", "a.kdl", a=text)[0] == 0
    code, said = run("check", "a.kdl", "--against", "node.json", a=text)
    assert code == 1 and "widens" in said


def test_diff_and_show(run):
    old = b'version 1\ntrial most-share=0.1\nroutes { route "look" most-tries=1 }'
    new = b'version 2\nroutes { route "look" most-tries=2 timeout=(s)1 }'
    assert run("diff", "a.kdl", "a.kdl", a=old) == (0, "")
    code, said = run("diff", "a.kdl", "b.kdl", a=old, b=new)
    assert code == 1 and said.splitlines() == [
        "~ route look most-tries: 1 -> 2",
        "+ route look timeout: 1000.0",
        "- trial most-share: 0.1",
    ]
    code, said = run("show", "b.kdl", "--against", "node.json", b=new)
    assert (
        code == 0
        and "route look most-tries: 2 (b.kdl:2:10)" in said
        and "route book most-tries: 3 (told)" in said
    )
    assert run("show", "a.kdl", "--against", "node.json", a=b"version 0")[0] == 1


# --- at the door and in the module ---


def test_a_tenants_rate_and_open_reqs_bound_it_and_no_other():
    v = version.read(b'version 1\ntenants { tenant "acme" rate=(per-s)2 most-open=3 }', TOLD)
    gate = RequestLimits()
    gate.update(rules.effective_limits(v.entries, TOLD), 0.0)
    assert [gate.admit("acme", 0.0) for _ in range(2)] == [None, None]
    assert gate.admit("acme", 0.0) == pytest.approx(500.0) and gate.admit("acme", 499.0) == pytest.approx(1.0)
    assert gate.admit("acme", 500.0) is None and gate.admit("acme", 5000.0) == 500.0  # three are open
    gate.release("acme")
    assert gate.admit("acme", 5000.0) is None and gate.admit("other", 0.0) is None
    gate.update(None, 6000.0)
    assert [gate.admit("acme", 6000.0) for _ in range(50)] == [None] * 50 and len(gate.usage) == 1


def test_a_told_quota_alone_refuses_nobody():
    gate = RequestLimits()
    gate.update(rules.effective_limits(entries.NO_ENTRIES, TOLD), 0.0)
    assert [gate.admit("acme", 0.0) for _ in range(200)] == [None] * 200


def test_facts_are_narrowed_and_never_widened():
    told = decode_node_config(orjson.dumps(build_config()))
    v = version.read(
        b'version 1\nroutes { route "look" timeout=(ms)900 most-tries=1 }\ntrial most-share=0.05'
    )
    bounds = rules.effective_limits(v.entries, told.limits())
    got = narrowed_settings(told.facts, bounds, ["look", "book"], ["acme"])
    look, book = got.settings.routes
    assert (look.timeout_ms, look.objective_ms, look.max_attempts) == (900.0, 800.0, 1)
    assert (book.timeout_ms, book.max_attempts, got.max_trial_share) == (2000.0, 3, 0.05)
    wide = version.read(b'version 1\nroutes { route "look" timeout=(s)90 most-tries=99 }')
    got = narrowed_settings(
        told.facts, rules.effective_limits(wide.entries, told.limits()), ["look", "book"], ["acme"]
    )
    assert got.settings.routes[0].timeout_ms == 2000.0 and got.settings.routes[0].max_attempts == 3
