"""The process behind the C library: one open session, asked over a socket that only its own user can reach.

The C side stays small and holds no rule: it sends texts and gets texts. One connection a call, so that threads may
wait while others submit. A message is a 4-byte count, then each text as a 4-byte length and its bytes (big-endian).
The process ends when its standard input does: then whoever started it is gone.
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

TEXTS_MOST, BYTES_MOST = 400_000, 32 << 20  # of one call: a bulk's ids, an argument list


class BadCall(Exception):
    """What came is no message of this protocol."""


def pack(texts: list[str]) -> bytes:
    data = [struct.pack(">I", len(texts))]
    for text in texts:
        raw = text.encode(errors="surrogateescape")
        data += [struct.pack(">I", len(raw)), raw]
    return b"".join(data)


async def unpack(stream) -> list[str]:
    """Raises BadCall, and anyio.IncompleteRead where the caller has gone."""
    reader = BufferedByteReceiveStream(stream)

    async def number():
        return struct.unpack(">I", await reader.receive_exactly(4))[0]

    count, left, texts = await number(), BYTES_MOST, []
    if count > TEXTS_MOST:
        raise BadCall(f"{count} texts in one call")
    for _ in range(count):
        length = await number()
        left -= length
        if left < 0:
            raise BadCall(f"more than {BYTES_MOST} bytes in one call")
        texts.append(
            (await reader.receive_exactly(length)).decode(errors="surrogateescape") if length else ""
        )
    return texts


def template_args(texts: list[str]) -> tuple[dict[str, str], dict[str, list[str]]]:
    """`name, count, values ...` each; a scalar has the count -1 and one value."""
    scalars, vectors, at = {}, {}, 0
    while at < len(texts):
        name, count = texts[at], int(texts[at + 1])
        if count < 0:
            scalars[name], at = texts[at + 2], at + 3
        else:
            vectors[name], at = texts[at + 2 : at + 2 + count], at + 2 + count
    return scalars, vectors


class Agent:
    def __init__(self, session: v1.V1Session):
        self.v1 = session

    async def answer(self, call: str, args: list[str]) -> list[str]:
        """The texts that one call returns. Raises DrmaaError."""
        session = self.v1
        match call:
            case "contact":
                return [session.session.contact]
            case "check":
                v1.check(args[0], args[1:], v1.here())
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
                job_id, status, used = await session.wait(args[1], v1.timeout_of(int(args[0])))
                return [job_id, str(status), *used]
        raise errors.Internal(f"no call {call!r}")

    async def handle(self, stream) -> None:
        async with stream:
            try:
                call, *args = await unpack(stream)
            except (BadCall, ValueError, anyio.IncompleteRead, anyio.EndOfStream, anyio.BrokenResourceError):
                return  # nobody is there to be told
            async with anyio.create_task_group() as tasks:

                async def watch():
                    # a caller that is gone waits no more: a job that it would have reaped is left for another
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
                    # told to the caller in full: the library's user sees it, and nobody else would
                    reply = [str(int(V1.INTERNAL_ERROR)), f"{type(error).__name__}: {error}"]
                with anyio.CancelScope(shield=True), anyio.move_on_after(10):
                    try:
                        await stream.send(pack(reply))
                    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                        pass  # it has gone meanwhile
                tasks.cancel_scope.cancel()


async def until_left() -> None:
    """Until standard input ends."""
    while await anyio.to_thread.run_sync(os.read, 0, 4096, abandon_on_cancel=True):
        pass


async def serve(contact: str) -> None:
    """Opens the session, tells `0 SOCKET CONTACT` or `NUMBER TEXT` on standard output, and serves until left."""
    place = Path(tempfile.mkdtemp(prefix="linedeal-drmaa-"))
    try:
        async with open_job_session(contact) as session:
            agent = Agent(v1.V1Session(session))
            async with await anyio.create_unix_listener(place / "agent", backlog=256) as listener:
                tell(V1.SUCCESS, str(place / "agent"))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, agent.handle)
                    await until_left()
                    tasks.cancel_scope.cancel()
    except DrmaaError as fault:
        tell(V1.DRMS_INIT_FAILED if fault.v1 is V1.DRM_COMMUNICATION_FAILURE else fault.v1, str(fault))
    finally:
        shutil.rmtree(place, ignore_errors=True)


def tell(number: V1, text: str) -> None:
    line = f"{int(number)} {text}".replace("\n", " ")
    sys.stdout.write(line + "\n")
    sys.stdout.flush()
