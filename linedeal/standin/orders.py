"""How a stand-in that carries out effects of duties keeps its fence: on its disk, ahead of the effect."""

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

HELLO = 5.0


class FenceFileError(Exception):
    """The file that keeps the highest tokens cannot be read or written; one plain line that names it."""


class PersistentFence:
    """`path` None: kept as long as the process lives, as a day in memory has no disks."""

    def __init__(self, path: Path | None):
        self.path, self.fence = path, Fence()
        if path is not None and path.exists():
            try:
                tokens = json.loads(path.read_text(encoding="utf-8"))
                self.fence = Fence(tuple(sorted((str(duty), int(token)) for duty, token in tokens.items())))
            except (OSError, ValueError, AttributeError, TypeError) as error:
                raise FenceFileError(f"{path}: holds no tokens: {error}") from None

    def passed(self, duty: str, token: int) -> None:
        """Returns once the token is kept. Raises DutyError for an old owner's."""
        after = self.fence.admit(duty, token)
        if after is not self.fence and self.path is not None:
            write_whole(self.path, dict(after.tokens))
        self.fence = after


def write_whole(path: Path, content) -> None:
    """The file holds this or what it held before, whenever the process dies. Raises FenceFileError."""
    beside = path.with_name(path.name + ".new")
    try:
        with open(beside, "w", encoding="utf-8") as file:
            json.dump(content, file)
            file.flush()
            os.fsync(file.fileno())
        beside.replace(path)
    except OSError as error:
        raise FenceFileError(f"{path}: cannot be written: {error.strerror}") from None


async def serve_owner(link: Link, hello: pb.Hello, name: str, council: CouncilSettings, carry_out) -> None:
    """The link of a duty's owner; `carry_out(order)` is a coroutine that returns what it is told."""
    why = (
        council_refuses(council, hello.session, hello.token)
        if council.members
        else "no council is known here"
    )
    if why:
        await link.send(encode(pb.Bye(reason=why)), HELLO)
        raise LinkLostError(why)
    await link.send(encode(pb.Welcome(version=1, name=name)), HELLO)
    while True:
        message = await link.receive()
        if not isinstance(message, pb.DutyOrder):
            raise LinkLostError(f"an owner may not send {type(message).__name__}")
        with anyio.CancelScope(shield=True):  # begun, it is seen through, whoever goes meanwhile
            told = await carry_out(message)
        told.number = message.number
        await link.send(encode(told), HELLO)


def refused(order: pb.DutyOrder, fence: PersistentFence, knows: tuple[int, ...]) -> str:
    """Why it is not carried out, or empty: what every order passes before anything else. `knows`: kinds that are
    carried out here."""
    if order.kind == pb.HOST_LOOK:
        return ""
    if order.kind not in knows:
        return "this is not done here"
    try:
        fence.passed(order.duty, order.token)
    except (DutyError, FenceFileError) as error:
        return str(error)
    return ""
