"""The platform's codecs and the bus feed: every chunking, and what cannot be followed."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linedeal.interface import Mode
from linedeal.net import FrameError
from linedeal.platform import bus, host_codec, owner_codec
from linedeal.platform.host_codec import Code, Type
from tests.platform_fixture import SETTINGS

ID = "9b1f03aa5c7e2d41"
TEXT = st.text(st.characters(codec="utf-8", exclude_categories=["Cs"]), max_size=40)


def pieces(data, cuts):
    marks = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(marks, marks[1:])]


def fed(reader, chunks):
    return [message for chunk in chunks for message in reader.feed(chunk)]


CUTS = st.lists(st.integers(0, 1 << 16), max_size=12)
FRAMES = st.lists(
    st.builds(
        host_codec.Frame,
        st.sampled_from(sorted(host_codec.TYPES)),
        st.binary(min_size=8, max_size=8),
        st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=50)), max_size=4).map(tuple),
    ),
    max_size=6,
)


@given(FRAMES, CUTS)
def test_frames_come_out_as_they_went_in_however_they_are_cut(frames, cuts):
    data = b"".join(
        host_codec.encode(f.type, f.task, b"".join(host_codec.parameter(*p) for p in f.parameters))
        for f in frames
    )
    reader = host_codec.FrameReader()
    assert fed(reader, pieces(data, cuts)) == frames
    reader.finish()


LINES = st.lists(
    st.builds(
        lambda kind, number, fields, sdp: {
            "type": kind,
            "id": f"{number:016x}",
            "fields": fields,
            "sdp": sdp,
        },
        st.sampled_from(["setup", "release", "ping"]),
        st.integers(0, (1 << 64) - 1),
        st.dictionaries(TEXT, TEXT, max_size=3),
        TEXT,
    ),
    max_size=6,
)


@given(LINES, CUTS)
def test_lines_come_out_as_they_went_in_however_they_are_cut(lines, cuts):
    data = b"".join(json.dumps(line).encode() + b"\n" for line in lines)
    reader = owner_codec.LineReader()
    got = fed(reader, pieces(data, cuts))
    assert [{"type": g.type, "id": g.id, "fields": g.fields, "sdp": g.sdp} for g in got] == lines
    assert not any(line.fault for line in got) and not reader.rest


@settings(max_examples=300)
@given(st.binary(max_size=300), CUTS)
def test_noise_is_an_error_of_the_codec_and_nothing_else(noise, cuts):
    for reader in (host_codec.FrameReader(), owner_codec.LineReader()):
        try:
            fed(reader, pieces(noise + b"\n", cuts))
        except FrameError:
            pass
        assert len(reader.rest) <= owner_codec.MOST + 2


@given(TEXT.filter(bool))
def test_a_description_reaches_the_owner_byte_for_byte(text):
    (line,) = owner_codec.LineReader().feed(owner_codec.answer(ID, text))
    assert (line.type, line.id, line.sdp) == ("answer", ID, text)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x08\x06" + bytes(8),
        b"\xff\xff\x06" + bytes(8),
        b"\x00\x09\x63" + bytes(8),  # short, huge, unknown
        b"\x00\x0b\x09" + bytes(8) + b"\x3d\x00",
        b"\x00\x0d\x09" + bytes(8) + b"\x3d\x00\x09a",
    ],
)  # parameters cut off
def test_a_frame_that_cannot_be_followed_ends_the_stream(data):
    with pytest.raises(FrameError):
        fed(host_codec.FrameReader(), [data])


def test_frames_and_lines_over_the_bound_are_not_waited_for():
    # guards against what never ends: it is refused as soon as its length is known, not once it is there
    with pytest.raises(FrameError, match="bytes"):
        fed(host_codec.FrameReader(), [(host_codec.MOST + 1).to_bytes(2) + b"\x09" + bytes(8)])
    reader = owner_codec.LineReader()
    with pytest.raises(FrameError, match="more than"):
        fed(reader, [b"x" * 1000] * 17)
    assert len(reader.rest) <= owner_codec.MOST + 1000


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b"[]",
        b"7",
        b'"x"',
        b'{"type":"setup"}',
        b'{"type":"setup","id":7}',
        b'{"type":"setup","id":"9B1F03AA5C7E2D41"}',
        b'{"id":"%s"' % ID.encode(),
        b"[" * 9000,
        b'{"type":"ping","id":"\xff"}',
        b'{"type":"release","id":"%s","cause":1e400}' % ID.encode(),
    ],
)
def test_a_line_without_an_id_closes(data):
    with pytest.raises(FrameError):
        fed(owner_codec.LineReader(), [data + b"\n"])


@pytest.mark.parametrize(
    "rest",
    [
        '"type":7',
        '"type":"setup","fields":[]',
        '"type":"setup","fields":{"left":[1]}',
        '"type":"release","cause":"x"',
        '"type":"setup","sdp":3',
        '"type":"release","cause":1.5',
    ],
)
def test_a_line_with_an_id_that_is_no_message_can_be_refused(rest):
    (line,) = fed(owner_codec.LineReader(), [b'{"id":"%s",%s}\n' % (ID.encode(), rest.encode())])
    assert line.id == ID and line.fault


def ask(extras="cores:1;memory:2;service:s", **fields):
    fields = {"class": "web", "tenant": "acme", "left": "1500", "extras": extras} | fields
    return owner_codec.read_ask(
        owner_codec.Line("setup", ID, {k: v for k, v in fields.items() if v is not None}, sdp="d"), SETTINGS
    )


def test_a_sound_set_up_is_read():
    got = ask("cores:1.5;memory:2;service:s;at:h1", key="k", left=1500)
    assert (got.cores, got.memory, got.left, got.at, got.key) == (1.5, 2.0, 1.5, "h1", "k")
    assert ask("cores:1;memory:2;service:s;at:10.0.0.1:80", left=None).at == "10.0.0.1:80"


@pytest.mark.parametrize(
    "fields",
    [
        {"class": "none"},
        {"tenant": "nobody"},
        {"left": "-1"},
        {"left": "0"},
        {"left": "nan"},
        {"left": "1e3"},
        {"left": "٣"},
        {"left": 10**9},
        {"left": None},
        {"left": "6001"},
        {"extras": "memory:2;service:s"},
        {"extras": "cores:0;memory:2;service:s"},
        {"extras": "cores:-1;memory:2;service:s"},
        {"extras": "cores:inf;memory:2;service:s"},
        {"extras": "cores:1;cores:1;memory:2;service:s"},
        {"extras": "cores:1;memory:99999999;service:s"},
        {"extras": "cores:1;memory:2"},
        {"extras": "x"},
        {"extras": "cores:1;memory:2;service:" + "s" * 65},
        {"key": "a b"},
        {"key": "k" * 65},
    ],
)
def test_figures_and_names_out_of_range_are_refused(fields):
    with pytest.raises(owner_codec.BadAsk):
        ask(**fields)


def test_a_spoilt_text_or_cause_is_no_answer():
    with pytest.raises(FrameError):
        host_codec.Frame(Type.ANSWER, bytes(8), ((Code.DESCRIPTION, b"\xff"),)).text(Code.DESCRIPTION)
    with pytest.raises(FrameError):
        host_codec.Frame(Type.RELEASE, bytes(8), ((Code.CAUSE, b"12"),)).cause()


def test_a_report_without_figures_is_empty():
    frame = host_codec.Frame(Type.PONG, bytes(8), ((Code.REPORT, b"x0:nan;x1:4;queue:;z:1e999;x2:inf"),))
    assert frame.pairs(Code.REPORT) == {"x1": 4.0}


def event(offset, full=False, **server):
    fields = {"id": "h1", "addr": "1.2.3.4:5", "kind": "std", "state": "SERVING"} | server
    return bus.Event(offset, bus.Topology(offset, full, [bus.Server(**fields)]))


def test_events_are_taken_once_and_in_order():
    feed = bus.Feed()
    first = feed.take(bus.Batch(2, [event(1, True), event(2, state="DRAINING", started_ms=90_000)]), 100.0)
    assert [heard.whole for heard in first] == [True, False]
    assert (first[0].hosts[0].age, first[1].hosts[0].age, first[1].hosts[0].mode) == (
        bus.LONG_AGO,
        10.0,
        Mode.DRAINING,
    )
    assert feed.take(bus.Batch(2, [event(2)]), 100.0) == [] and feed.number == 2
    with pytest.raises(bus.BadEvent):
        feed.take(bus.Batch(4, [event(4)]), 100.0)
    assert feed.number == 2 and len(feed.take(bus.Batch(4, [event(3), event(4)]), 100.0)) == 2


@pytest.mark.parametrize(
    "data", [b"", b"{", b'{"offset":"x"}', b'{"offset":1,"batch":[{"offset":1,"topology":{"servers":[{}]}}]}']
)
def test_half_an_answer_of_the_bus_counts_for_nothing(data):
    with pytest.raises(bus.BadEvent):
        bus.decode(data)
