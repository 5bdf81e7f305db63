"""How simulated hosts and the tool admit duties' orders: the fencing token is on disk before the effect."""

import json
import os
from pathlib import Path

import anyio

from linedeal.duties.duty import DutyError
from linedeal.duties.fence import Fence
from linedeal.net import Link, LinkLostError
from linedeal.protocol import encode, pb
from linedeal.settings.keys import council_refuses
from linedeal.settings.records import CouncilSettings

HELLO_TIMEOUT = 5.0  # seconds; also for each message sent to an owner


class FenceFileError(Exception):
    """A file of the fence or the tool cannot be read or written; one plain line that names it."""


class PersistentFence:
    """The highest fencing token of each duty, kept in a file over restarts."""

    def __init__(self, path: Path | None):
        """Reads the file if it exists. None: kept in memory, for clusters without disks.

        Raises FenceFileError where the file holds no tokens.
        """
        self.path, self.fence = path, Fence()
        if path is not None and path.exists():
            try:
                tokens = json.loads(path.read_text(encoding="utf-8"))
                self.fence = Fence(tuple(sorted((str(duty), int(token)) for duty, token in tokens.items())))
            except (OSError, ValueError, AttributeError, TypeError) as error:
                raise FenceFileError(f"{path}: holds no tokens: {error}") from None

    def admit(self, duty: str, token: int) -> None:
        """Returns once the token is on disk.

        Raises DutyError for a token lower than the highest, FenceFileError where it cannot be written.
        """
        after = self.fence.admit(duty, token)
        if after is not self.fence and self.path is not None:
            replace_file(self.path, dict(after.tokens))
        self.fence = after


def replace_file(path: Path, content) -> None:
    """Replaces the file atomically: after a crash it holds either content. Raises FenceFileError."""
    temporary = path.with_name(path.name + ".new")
    try:
        with open(temporary, "w", encoding="utf-8") as file:
            json.dump(content, file)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    except OSError as error:
        raise FenceFileError(f"{path}: cannot be written: {error.strerror}") from None


async def serve_owner(link: Link, hello: pb.Hello, name: str, council: CouncilSettings, carry_out) -> None:
    """Serves the link of a duty's owner until it is lost.

    `carry_out(order)` is a coroutine that returns the reply. Raises LinkLostError, also where the owner's key
    is refused.
    """
    why = (
        council_refuses(council, hello.session, hello.token)
        if council.members
        else "no council is known here"
    )
    if why:
        await link.send(encode(pb.Bye(reason=why)), HELLO_TIMEOUT)
        raise LinkLostError(why)
    await link.send(encode(pb.Welcome(version=1, name=name)), HELLO_TIMEOUT)
    while True:
        message = await link.receive()
        if not isinstance(message, pb.DutyOrder):
            raise LinkLostError(f"an owner may not send {type(message).__name__}")
        with anyio.CancelScope(shield=True):  # an order that has begun is completed, even if its link is lost
            reply = await carry_out(message)
        reply.number = message.number
        await link.send(encode(reply), HELLO_TIMEOUT)


def refusal_reason(order: pb.DutyOrder, fence: PersistentFence, supported: tuple[int, ...]) -> str:
    """Why an order is refused, or empty once the fence has admitted its token.

    Checked before anything else. `supported`: the kinds of orders that are carried out here, apart from
    reads.
    """
    if order.kind == pb.HOST_LOOK:
        return ""
    if order.kind not in supported:
        return "this is not done here"
    try:
        fence.admit(order.duty, order.token)
    except (DutyError, FenceFileError) as error:
        return str(error)
    return ""
