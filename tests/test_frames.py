"""Frames: any division of the stream yields the same messages, any invalid bytes one FrameError."""

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
def test_messages_are_decoded_from_pieces_of_any_size(messages, sizes, compress):
    data = b"".join(encode(message, compress) for message in messages)
    reader, decoded, offset, piece = FrameReader(), [], 0, 0
    while offset < len(data):
        size = sizes[piece % len(sizes)]
        decoded += reader.feed(data[offset : offset + size])
        offset, piece = offset + size, piece + 1
    reader.finish()
    assert decoded == messages


@settings(max_examples=300)
@given(st.binary(max_size=200))
def test_random_bytes_give_messages_or_a_one_line_error(data):
    reader = FrameReader()
    try:
        list(reader.feed(data))
        reader.finish()
    except FrameError as error:
        assert "\n" not in str(error)


@given(st.binary(max_size=100))
def test_a_random_body_in_a_valid_frame_gives_messages_or_a_one_line_error(body):
    for encoding in (frames.PLAIN, frames.COMPRESSED):
        try:
            list(FrameReader().feed(frames.HEADER.pack(len(body), encoding) + body))
        except FrameError as error:
            assert "\n" not in str(error)


@pytest.mark.parametrize(
    "data, message",
    [
        (frames.HEADER.pack(frames.MAX_FRAME_BYTES + 1, 0), "at most"),
        (frames.HEADER.pack(1, 7) + b"x", "unknown encoding"),
        (frames.HEADER.pack(2, 0) + b"\xff\xff", "without a valid message"),
        (frames.HEADER.pack(3, 1) + b"abc", "compressed frame is invalid"),
    ],
)
def test_each_kind_of_invalid_frame_is_reported(data, message):
    with pytest.raises(FrameError, match=message):
        list(FrameReader().feed(data))


def test_a_small_frame_that_expands_too_much_is_rejected(monkeypatch):
    # a peer could otherwise fill the memory with a few bytes
    monkeypatch.setattr(frames, "MAX_ENVELOPE_BYTES", 10_000)
    big = encode(pb.Bye(reason="x" * 50_000), compress=True)
    assert len(big) < 200
    with pytest.raises(FrameError, match="more than"):
        list(FrameReader().feed(big))


def test_a_stream_that_ends_inside_a_frame_is_an_error():
    reader = FrameReader()
    list(reader.feed(encode(pb.Probe(number=9))[:-1]))
    with pytest.raises(FrameError, match="inside a frame"):
        reader.finish()


def test_messages_and_fields_of_later_versions_are_skipped():
    # field 90 of the envelope and field 90 of a probe are not defined
    unknown_message = frames.HEADER.pack(4, 0) + b"\xd2\x05\x01x"
    probe = pb.Probe(number=4).SerializeToString() + b"\xd0\x05\x01"
    body = bytes([19 << 3 & 0x7F | 2 | 0x80, 19 >> 4, len(probe)]) + probe
    decoded = list(FrameReader().feed(unknown_message + frames.HEADER.pack(len(body), 0) + body))
    assert decoded[0] is None and decoded[1].number == 4


def test_a_message_over_the_frame_limit_is_not_encoded():
    with pytest.raises(FrameError, match="over the"):
        encode(pb.Bye(reason="x" * frames.MAX_FRAME_BYTES))


@settings(max_examples=150, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=80), max_size=5), st.booleans())
def test_any_bytes_on_a_link_give_messages_or_end_it(pieces, valid_first):
    # the links to clients, hosts and discovery all read through `Link`
    async def scenario():
        near, far = pipe()
        if valid_first:
            await near.send(encode(pb.Probe(number=5)))
        for piece in pieces:
            await near.send(piece)
        await near.aclose()
        link, received = Link(far, FrameReader()), []
        try:
            while True:
                received += await link.receive_all()
        except LinkLostError as error:
            assert "\n" not in str(error)
        assert not valid_first or received[0].number == 5

    anyio.run(scenario)
