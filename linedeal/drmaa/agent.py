"""The agent process of the C library: it holds one open session and serves calls on a Unix socket.

The socket is in a directory that only its own user can access. The C library implements no rule of the
standard: it sends strings and receives strings. Each call has a connection of its own, so that some threads
can wait while others submit. A message is a 4-byte count, then each string as a 4-byte length and its bytes;
numbers are big-endian. The agent exits when its standard input is closed, which happens when the program that
started it exits.
"""

import os
import shutil
import struct
import sys
import tempfile
from pathlib import Path

import anyio
import anyio.to_thread
from anyio.streams.buffered import BufferedByteReceiveStream

from linedeal.drmaa import errors, v1
from linedeal.drmaa.errors import V1, DrmaaError
from linedeal.drmaa.session import open_job_session

# limits of one call, which may carry the ids of a bulk or a long argument list
MAX_STRINGS, MAX_BYTES = 400_000, 32 << 20


class MalformedCallError(Exception):
    """The received bytes are not a message of this protocol, or exceed its limits."""


def pack(texts: list[str]) -> bytes:
    """Encodes a message."""
    data = [struct.pack(">I", len(texts))]
    for text in texts:
        raw = text.encode(errors="surrogateescape")
        data += [struct.pack(">I", len(raw)), raw]
    return b"".join(data)


async def unpack(stream) -> list[str]:
    """Reads one message. Raises MalformedCallError, and anyio.IncompleteRead if the caller disconnects."""
    reader = BufferedByteReceiveStream(stream)

    async def read_number():
        return struct.unpack(">I", await reader.receive_exactly(4))[0]

    count, remaining, texts = await read_number(), MAX_BYTES, []
    if count > MAX_STRINGS:
        raise MalformedCallError(f"{count} strings in one call")
    for _ in range(count):
        length = await read_number()
        remaining -= length
        if remaining < 0:
            raise MalformedCallError(f"more than {MAX_BYTES} bytes in one call")
        texts.append(
            (await reader.receive_exactly(length)).decode(errors="surrogateescape") if length else ""
        )
    return texts


def template_args(texts: list[str]) -> tuple[dict[str, str], dict[str, list[str]]]:
    """Splits a template's attributes into scalars and vectors.

    Each attribute is sent as `name, count, values ...`; a scalar has the count -1 and one value.
    """
    scalars, vectors, position = {}, {}, 0
    while position < len(texts):
        name, count = texts[position], int(texts[position + 1])
        if count < 0:
            scalars[name], position = texts[position + 2], position + 3
        else:
            vectors[name], position = texts[position + 2 : position + 2 + count], position + 2 + count
    return scalars, vectors


class Agent:
    """Answers the calls of the C library on one session."""

    def __init__(self, session: v1.V1Session):
        """Serves the given session."""
        self.v1 = session

    async def answer(self, call: str, args: list[str]) -> list[str]:
        """Executes one call and returns the strings of its reply. Raises DrmaaError."""
        session = self.v1
        match call:
            case "contact":
                return [session.session.contact]
            case "check":
                v1.check(args[0], args[1:], v1.local_now())
                return []
            case "run":
                return [await session.run_job(*template_args(args))]
            case "bulk":
                begin, end, step = map(int, args[:3])
                return await session.run_bulk(*template_args(args[3:]), begin, end, step)
            case "control":
                await session.control(args[0], int(args[1]))
                return []
            case "ps":
                return [str(await session.ps(args[0]))]
            case "synchronize":
                await session.synchronize(args[2:], v1.timeout_of(int(args[0])), args[1] == "1")
                return []
            case "wait":
                job_id, status, usage = await session.wait(args[1], v1.timeout_of(int(args[0])))
                return [job_id, str(status), *usage]
        raise errors.Internal(f"unknown call {call!r}")

    async def handle(self, stream) -> None:
        """Serves one connection: reads a call and sends the error number, its text and the reply."""
        async with stream:
            try:
                call, *args = await unpack(stream)
            except (
                MalformedCallError,
                ValueError,
                anyio.IncompleteRead,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
            ):
                return  # no peer is left to receive a reply
            async with anyio.create_task_group() as tasks:

                async def watch():
                    # cancels the call when the caller disconnects, so that it does not reap a job unnoticed
                    try:
                        await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                        pass
                    tasks.cancel_scope.cancel()

                tasks.start_soon(watch)
                try:
                    reply = ["0", "", *await self.answer(call, args)]
                except DrmaaError as error:
                    reply = [str(int(error.v1)), str(error)]
                except Exception as error:
                    # reported in full, since the caller is the only one who will see it
                    reply = [str(int(V1.INTERNAL_ERROR)), f"{type(error).__name__}: {error}"]
                with anyio.CancelScope(shield=True), anyio.move_on_after(10):
                    try:
                        await stream.send(pack(reply))
                    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                        pass  # the caller has disconnected
                tasks.cancel_scope.cancel()


async def wait_for_end_of_input() -> None:
    """Returns when standard input is closed."""
    while await anyio.to_thread.run_sync(os.read, 0, 4096, abandon_on_cancel=True):
        pass


async def serve(contact: str) -> None:
    """Opens the session and serves it until standard input is closed.

    Prints one line on standard output: `0 SOCKET`, or the error as `NUMBER TEXT`.
    """
    directory = Path(tempfile.mkdtemp(prefix="linedeal-drmaa-"))
    try:
        async with open_job_session(contact) as session:
            agent = Agent(v1.V1Session(session))
            async with await anyio.create_unix_listener(directory / "agent", backlog=256) as listener:
                print_result(V1.SUCCESS, str(directory / "agent"))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, agent.handle)
                    await wait_for_end_of_input()
                    tasks.cancel_scope.cancel()
    except DrmaaError as error:
        print_result(
            V1.DRMS_INIT_FAILED if error.v1 is V1.DRM_COMMUNICATION_FAILURE else error.v1, str(error)
        )
    finally:
        shutil.rmtree(directory, ignore_errors=True)


def print_result(number: V1, text: str) -> None:
    """Prints the line that the C library waits for when it starts the agent."""
    line = f"{int(number)} {text}".replace("\n", " ")
    sys.stdout.write(line + "\n")
    sys.stdout.flush()
