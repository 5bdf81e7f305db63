"""Frames: whole messages whatever the pieces, one plain error whatever the bytes."""

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linedeal.net import Link, LinkLostError
from linedeal.net.memory import pipe
from linedeal.protocol import FrameError, FrameReader, encode, frames, pb

MESSAGES = st.lists(
    st.one_of(
        st.builds(pb.Probe, number=st.integers(0, 2**64 - 1)),
        st.builds(pb.Bye, reason=st.text(max_size=50), fenced=st.booleans()),
        st.builds(
            lambda n: pb.HostList(version=n, hosts=[pb.HostEntry(id=f"h{i}") for i in range(n)]),
            st.integers(0, 300),
        ),
    ),
    max_size=6,
)


@given(MESSAGES, st.lists(st.integers(1, 40), min_size=1), st.booleans())
def test_messages_come_out_whole_in_any_pieces(messages, sizes, pack):
    data = b"".join(encode(message, pack) for message in messages)
    reader, out, at, turn = FrameReader(), [], 0, 0
    while at < len(data):
        size = sizes[turn % len(sizes)]
        out += reader.feed(data[at : at + size])
        at, turn = at + size, turn + 1
    reader.finish()
    assert out == messages


@settings(max_examples=300)
@given(st.binary(max_size=200))
def test_random_bytes_give_messages_or_one_plain_error(data):
    reader = FrameReader()
    try:
        list(reader.feed(data))
        reader.finish()
    except FrameError as error:
        assert "\n" not in str(error)


@given(st.binary(max_size=100))
def test_a_random_body_in_a_good_frame_too(body):
    for form in (frames.PLAIN, frames.PACKED):
        try:
            list(FrameReader().feed(frames.HEADER.pack(len(body), form) + body))
        except FrameError as error:
            assert "\n" not in str(error)


@pytest.mark.parametrize(
    "data, said",
    [
        (frames.HEADER.pack(frames.MOST + 1, 0), "at most"),
        (frames.HEADER.pack(1, 7) + b"x", "unknown form"),
        (frames.HEADER.pack(2, 0) + b"\xff\xff", "holds no message"),
        (frames.HEADER.pack(3, 1) + b"abc", "cannot be unpacked"),
    ],
)
def test_each_fault_is_named(data, said):
    with pytest.raises(FrameError, match=said):
        list(FrameReader().feed(data))


def test_a_small_frame_that_unpacks_to_much_is_refused(monkeypatch):
    # guards against a peer that fills our memory with a few bytes
    monkeypatch.setattr(frames, "MOST_UNPACKED", 10_000)
    big = encode(pb.Bye(reason="x" * 50_000), compress=True)
    assert len(big) < 200
    with pytest.raises(FrameError, match="more than"):
        list(FrameReader().feed(big))


def test_a_stream_that_ends_inside_a_frame_is_told():
    reader = FrameReader()
    list(reader.feed(encode(pb.Probe(number=9))[:-1]))
    with pytest.raises(FrameError, match="inside a frame"):
        reader.finish()


def test_what_a_later_version_adds_is_passed_over():
    # field 90 of the envelope, and field 90 of a probe: neither is known here
    unknown_message = frames.HEADER.pack(4, 0) + b"\xd2\x05\x01x"
    probe = pb.Probe(number=4).SerializeToString() + b"\xd0\x05\x01"
    body = bytes([19 << 3 & 0x7F | 2 | 0x80, 19 >> 4, len(probe)]) + probe
    out = list(FrameReader().feed(unknown_message + frames.HEADER.pack(len(body), 0) + body))
    assert out[0] is None and out[1].number == 4


def test_what_is_too_large_to_send_is_refused_at_home():
    with pytest.raises(FrameError, match="over the"):
        encode(pb.Bye(reason="x" * frames.MOST))


@settings(max_examples=150, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=80), max_size=5), st.booleans())
def test_any_bytes_on_a_link_are_messages_or_its_end(pieces, good_first):
    # front, host links and the watch all read through this one place
    async def play():
        near, far = pipe()
        if good_first:
            await near.send(encode(pb.Probe(number=5)))
        for piece in pieces:
            await near.send(piece)
        await near.aclose()
        link, got = Link(far, FrameReader()), []
        try:
            while True:
                got += await link.receive_all()
        except LinkLostError as error:
            assert "\n" not in str(error)
        assert not good_first or got[0].number == 5

    anyio.run(play)
