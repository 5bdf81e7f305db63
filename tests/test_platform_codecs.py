"""The platform's codecs and the bus feed, with input cut at any place and with invalid input."""

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


def split_at(data, cuts):
    bounds = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]


def decode_chunks(reader, chunks):
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
def test_frames_round_trip_however_the_stream_is_cut(frames, cuts):
    data = b"".join(
        host_codec.encode(f.type, f.task, b"".join(host_codec.parameter(*p) for p in f.parameters))
        for f in frames
    )
    reader = host_codec.FrameReader()
    assert decode_chunks(reader, split_at(data, cuts)) == frames
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
def test_lines_round_trip_however_the_stream_is_cut(lines, cuts):
    data = b"".join(json.dumps(line).encode() + b"\n" for line in lines)
    reader = owner_codec.LineReader()
    decoded = decode_chunks(reader, split_at(data, cuts))
    assert [
        {"type": message.type, "id": message.id, "fields": message.fields, "sdp": message.sdp}
        for message in decoded
    ] == lines
    assert not any(message.fault for message in decoded) and not reader.buffer


@settings(max_examples=300)
@given(st.binary(max_size=300), CUTS)
def test_random_bytes_raise_nothing_but_frame_error(noise, cuts):
    for reader in (host_codec.FrameReader(), owner_codec.LineReader()):
        try:
            decode_chunks(reader, split_at(noise + b"\n", cuts))
        except FrameError:
            pass
        assert len(reader.buffer) <= owner_codec.MAX_LINE_BYTES + 2


@given(TEXT.filter(bool))
def test_description_reaches_the_owner_unchanged(text):
    (line,) = owner_codec.LineReader().feed(owner_codec.encode_answer(ID, text))
    assert (line.type, line.id, line.sdp) == ("answer", ID, text)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x08\x06" + bytes(8),  # too short
        b"\xff\xff\x06" + bytes(8),  # too long
        b"\x00\x09\x63" + bytes(8),  # of an unknown type
        b"\x00\x0b\x09" + bytes(8) + b"\x3d\x00",  # a parameter without its whole length
        b"\x00\x0d\x09" + bytes(8) + b"\x3d\x00\x09a",  # a parameter without its whole value
    ],
)
def test_invalid_frame_raises_frame_error(data):
    with pytest.raises(FrameError):
        decode_chunks(host_codec.FrameReader(), [data])


def test_frames_and_lines_over_the_limit_are_rejected_before_they_are_complete():
    # Guards against buffering without end: the length is checked as soon as it is known.
    with pytest.raises(FrameError, match="bytes"):
        decode_chunks(
            host_codec.FrameReader(), [(host_codec.MAX_LENGTH + 1).to_bytes(2) + b"\x09" + bytes(8)]
        )
    reader = owner_codec.LineReader()
    with pytest.raises(FrameError, match="more than"):
        decode_chunks(reader, [b"x" * 1000] * 17)
    assert len(reader.buffer) <= owner_codec.MAX_LINE_BYTES + 1000


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
def test_line_without_a_valid_id_raises_frame_error(data):
    with pytest.raises(FrameError):
        decode_chunks(owner_codec.LineReader(), [data + b"\n"])


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
def test_invalid_message_with_an_id_is_returned_with_a_fault(rest):
    (line,) = decode_chunks(owner_codec.LineReader(), [b'{"id":"%s",%s}\n' % (ID.encode(), rest.encode())])
    assert line.id == ID and line.fault


def parse(extras="cores:1;memory:2;service:s", **fields):
    fields = {"class": "web", "tenant": "acme", "left": "1500", "extras": extras} | fields
    return owner_codec.parse_request(
        owner_codec.Line("setup", ID, {k: v for k, v in fields.items() if v is not None}, sdp="d"), SETTINGS
    )


def test_valid_setup_is_parsed():
    request = parse("cores:1.5;memory:2;service:s;at:h1", key="k", left=1500)
    assert (request.cores, request.memory, request.time_left, request.host, request.key) == (
        1.5,
        2.0,
        1.5,
        "h1",
        "k",
    )
    assert parse("cores:1;memory:2;service:s;at:10.0.0.1:80", left=None).host == "10.0.0.1:80"


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
def test_setup_with_a_field_out_of_range_is_rejected(fields):
    with pytest.raises(owner_codec.InvalidRequestError):
        parse(**fields)


def test_invalid_text_or_cause_raises_frame_error():
    with pytest.raises(FrameError):
        host_codec.Frame(Type.ANSWER, bytes(8), ((Code.DESCRIPTION, b"\xff"),)).text(Code.DESCRIPTION)
    with pytest.raises(FrameError):
        host_codec.Frame(Type.RELEASE, bytes(8), ((Code.CAUSE, b"12"),)).cause()


def test_report_keeps_only_finite_figures():
    frame = host_codec.Frame(Type.PONG, bytes(8), ((Code.REPORT, b"x0:nan;x1:4;queue:;z:1e999;x2:inf"),))
    assert frame.figures(Code.REPORT) == {"x1": 4.0}


def topology_event(offset, full=False, **server):
    fields = {"id": "h1", "addr": "1.2.3.4:5", "kind": "std", "state": "SERVING"} | server
    return bus.Event(offset, bus.Topology(offset, full, [bus.Server(**fields)]))


def test_events_are_accepted_once_and_in_order():
    feed = bus.Feed()
    received = feed.accept(
        bus.Batch(2, [topology_event(1, True), topology_event(2, state="DRAINING", started_ms=90_000)]), 100.0
    )
    assert [event.whole for event in received] == [True, False]
    assert (received[0].hosts[0].age, received[1].hosts[0].age, received[1].hosts[0].mode) == (
        bus.UNKNOWN_AGE,
        10.0,
        Mode.DRAINING,
    )
    assert feed.accept(bus.Batch(2, [topology_event(2)]), 100.0) == [] and feed.offset == 2
    with pytest.raises(bus.BusProtocolError):
        feed.accept(bus.Batch(4, [topology_event(4)]), 100.0)
    assert (
        feed.offset == 2
        and len(feed.accept(bus.Batch(4, [topology_event(3), topology_event(4)]), 100.0)) == 2
    )


def test_events_that_are_read_again_are_one_list():
    # Guards against the first event alone, after some were missed: hosts that joined later would be gone.
    feed, first = bus.Feed(), bus.Batch(1, [topology_event(1, True)])
    feed.accept(first, 100.0)
    feed.accept(bus.Batch(2, [topology_event(2, id="h2")]), 100.0)
    with pytest.raises(bus.BusProtocolError):
        feed.accept(bus.Batch(5, [topology_event(5, id="h3")]), 100.0)
    feed.offset = 0
    events = [
        topology_event(1, True),
        topology_event(2, id="h2"),
        topology_event(3, state="DELETED"),
        topology_event(4, id="h2", state="DRAINING"),
        topology_event(5, id="h3"),
    ]
    (received,) = feed.accept(bus.Batch(5, events), 100.0)
    assert received.whole and received.version == 5 and feed.offset == 5
    assert {host.id: host.mode for host in received.hosts} == {"h2": Mode.DRAINING, "h3": Mode.SERVING}


@pytest.mark.parametrize(
    "data", [b"", b"{", b'{"offset":"x"}', b'{"offset":1,"batch":[{"offset":1,"topology":{"servers":[{}]}}]}']
)
def test_incomplete_response_of_the_bus_is_rejected(data):
    with pytest.raises(bus.BusProtocolError):
        bus.decode(data)
