"""The commands for the owners of jobs. A session's contact says where it lives: `--contact`, or LINEDEAL_CONTACT."""

import json
import os
import secrets
import sys
from contextlib import asynccontextmanager
from datetime import datetime
from pathlib import Path
from typing import Annotated, Optional

import anyio
import typer

CONTACT = Annotated[
    str, typer.Option(help="HOST:PORT,.../SESSION[?customer=NAME]", envvar="LINEDEAL_CONTACT")
]
JSON = Annotated[bool, typer.Option("--json", help="for programs")]
KEYS = Annotated[list[str], typer.Argument(metavar="JOBS...", help="as `submit` and `status` name them")]
SERVICE = Annotated[str, typer.Option(help="else the command's own name")]
WAIT = Annotated[
    float, typer.Option(help="seconds in which it has to find a host; 0: as long as the offering allows")
]
LINE = 0.25  # seconds between two looks at a progress line


def add(app: typer.Typer, run, fault) -> None:
    """Puts the commands on `app`. `run` runs a coroutine function; `fault(text, status)` makes the error to raise."""

    @asynccontextmanager
    async def opened(contact: str):
        from linedeal.client.contact import ContactError, parse_contact, token_of
        from linedeal.client.owner import NoSuchJobError, OrderRefusedError, Owner, SessionOpenError
        from linedeal.client.client import JobDeclinedError
        from linedeal.net import TcpNet

        try:
            place = parse_contact(contact) if contact else None
            token = token_of(place.customer) if place else ""
        except ContactError as error:
            raise fault(f"contact {error}", 2) from None
        if place is None:
            raise fault("no contact: --contact or LINEDEAL_CONTACT", 2)
        try:
            async with Owner.open(TcpNet(), place, token) as owner:
                yield owner
        except SessionOpenError as error:
            raise fault(str(error), 3) from None
        except NoSuchJobError as error:
            raise fault(
                f"no job {error.args[0]!r} in session {place.session or 'without a name'}", 1
            ) from None
        except OrderRefusedError as error:
            raise fault(f"not done: {error}", 1) from None
        except JobDeclinedError as error:
            raise fault(f"turned away: {error}", 1) from None
        except TimeoutError:
            raise fault("not within its time", 1) from None

    def work_of(offering, command, service, customer, cores, memory, wait, name):
        from linedeal.client import JobRequest
        from linedeal.protocol import pb

        service = service or (Path(command[0]).name if command else "by-hand")
        work = (
            pb.Work(name=name, command=command[0], arguments=command[1:], directory=os.getcwd())
            if command
            else (pb.Work(name=name) if name else None)
        )
        return JobRequest(offering, customer, service, cores, memory, wait), work

    @app.command(
        "run",
        epilog="Example: linedeal run course-reader --contact 127.0.0.1:7100 --cores 2 -- print week-7.pdf",
    )
    def run_job(
        offering: str,
        command: Annotated[Optional[list[str]], typer.Argument(help="what the host runs")] = None,
        contact: CONTACT = "",
        service: SERVICE = "",
        customer: str = "",
        cores: float = 1.0,
        memory: float = 1.0,
        wait: WAIT = 0.0,
        name: str = "",
        as_json: JSON = False,
    ):
        """Submits a job, follows it, and exits with its status; 1 where it has none. Ctrl-C ends the job."""
        from linedeal.client.owner import END, NoSuchJobError, OrderRefusedError

        ask, work = work_of(offering, command or [], service, customer, cores, memory, wait, name)
        found = []

        async def go():
            async with opened(contact) as owner:
                key = await owner.submit(ask, work=work)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(show, owner, [key], as_json)
                    tasks.start_soon(end_on_signal, owner, key)
                    found.append(await owner.wait_until_over(key))
                    tasks.cancel_scope.cancel()
                await owner.forget(key)

        async def end_on_signal(owner, key):
            import signal

            with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
                async for _ in signals:
                    try:
                        await owner.order(key, END)
                    except (OrderRefusedError, NoSuchJobError):
                        pass  # it has just ended by itself

        run(go)
        tell(found, as_json)
        ran = found[0].ran
        raise typer.Exit(ran.status if ran and ran.status is not None else 1)

    @app.command(
        "submit",
        epilog="Example: linedeal submit press-feed --contact 127.0.0.1:7100/shop --cores 2 -- feed 7",
    )
    def submit(
        offering: str,
        command: Annotated[Optional[list[str]], typer.Argument(help="what the host runs")] = None,
        contact: CONTACT = "",
        service: SERVICE = "",
        customer: str = "",
        cores: float = 1.0,
        memory: float = 1.0,
        wait: WAIT = 0.0,
        name: str = "",
        hold: bool = False,
        start_in: Annotated[float, typer.Option(help="seconds")] = 0.0,
        key: Annotated[str, typer.Option(help="of the job; asked for again, it is joined")] = "",
        bulk: Annotated[
            str, typer.Option(help="BEGIN-END[:STEP]; $drmaa_incr_ph$ in arguments is the index")
        ] = "",
        answer: Annotated[
            bool, typer.Option(help="waits for the answer; exit status 0 only if placed")
        ] = False,
        to: Annotated[
            str, typer.Option(help="HOST:PORT of one controller: no session, waits for the answer")
        ] = "",
        as_json: JSON = False,
    ):
        """Submits a job, or a bulk, and prints its name as soon as it is taken."""
        ask, work = work_of(offering, command or [], service, customer, cores, memory, wait, name)
        if to:
            return without_session(to, ask, as_json)
        if contact and "/" not in contact:
            raise fault(f"contact {contact!r} names no session: the job could not be found again", 2)
        works = bulk_of(work, bulk) if bulk else []
        standings = []

        async def go():
            async with opened(contact) as owner:
                if bulk:
                    named = [(ask, f"{key or owner.prefix}.{work.index}", work) for work in works]
                    keys = await owner.submit_many(named, hold, start_in)
                else:
                    keys = [await owner.submit(ask, key, work, hold, start_in)]
                if answer:
                    await owner.wait_until(keys, lambda standing: standing.answered, every=True)
                standings.extend(owner.status(key) for key in keys)

        run(go)
        if as_json:
            tell(standings, True)
        else:
            print(*(f"{s.key}  {line(s)}" if answer else s.key for s in standings), sep="\n")
        if answer and any(standing.stage in ("rejected", "written off", "refused") for standing in standings):
            raise typer.Exit(1)

    def without_session(to, ask, as_json):
        from linedeal.client import Client, ConnectionLostError, JobDeclinedError
        from linedeal.net import TcpNet, parse_address

        try:
            address = parse_address(to)
        except ValueError as error:
            raise fault(str(error), 2) from None
        found: dict = {}

        async def go():
            try:
                async with Client.connect(TcpNet(), address, "submit") as client:
                    answered = await client.submit(ask)
                found.update(verdict=answered.verdict, job=answered.job, host=answered.host)
            except JobDeclinedError as error:
                found.update(verdict="turned away", reason=str(error), retry_after=error.retry_after)
            except ConnectionLostError as error:
                found.update(verdict="lost", reason=str(error), may_have_run=error.may_have_run)

        run(go)
        print(json.dumps(found) if as_json else ", ".join(f"{k} {v}" for k, v in found.items() if v != ""))
        raise typer.Exit(0 if found["verdict"] == "placed" else 1)

    def bulk_of(work, bulk):
        from linedeal.drmaa import errors, translate
        from linedeal.protocol import pb

        try:
            ends, _, step = bulk.partition(":")
            begin, _, end = ends.partition("-")
            numbers = translate.indices(int(begin), int(end), int(step or 1))
        except (ValueError, errors.InvalidArgument) as error:
            raise fault(f"--bulk {bulk}: {error}", 2) from None
        return [translate.at_index(work or pb.Work(), index) for index in numbers]

    @app.command(epilog="Example: linedeal status --contact 127.0.0.1:7100/shop")
    def status(
        keys: Annotated[Optional[list[str]], typer.Argument()] = None,
        contact: CONTACT = "",
        as_json: JSON = False,
    ):
        """How jobs stand: those named, or all of the session that are not over."""
        show_some(contact, keys, as_json, lambda standing: not standing.over)

    @app.command(epilog="Example: linedeal history --contact 127.0.0.1:7100/shop --json")
    def history(contact: CONTACT = "", as_json: JSON = False):
        """All jobs of the session, ended ones too for as long as they are kept, with what they used."""
        show_some(contact, None, as_json, lambda standing: True)

    def show_some(contact, keys, as_json, test):
        found = []

        async def go():
            async with opened(contact) as owner:
                await heard_all(owner)
                found.extend(
                    [await owner.find(key) for key in keys]
                    if keys
                    else [owner.status(key) for key in owner.keys() if test(owner.status(key))]
                )
                found.sort(key=lambda standing: standing.taken_at or 0.0)

        run(go)
        tell(found, as_json)

    async def heard_all(owner):
        """Controllers that do not answer are named, what the others say is shown all the same."""
        from linedeal.client.owner import NOT_YET

        with anyio.move_on_after(3.0):
            while any(home.why == NOT_YET for home in owner.homes):
                await owner.change()
        for home in owner.homes:
            if not home.heard:
                print(f"linedeal: {home} is not heard: {home.why}", file=sys.stderr)

    @app.command(epilog="Example: linedeal wait --contact 127.0.0.1:7100/shop --any 3f2a-1 3f2a-2")
    def wait(
        keys: KEYS,
        contact: CONTACT = "",
        any_: Annotated[bool, typer.Option("--any", help="until one is over")] = False,
        timeout: Annotated[float, typer.Option(help="seconds; 0: for ever")] = 0.0,
        as_json: JSON = False,
    ):
        """Until jobs are over. Exit status 0 only if all that ended ran to their end with status 0."""
        found = []

        async def go():
            async with opened(contact) as owner:
                for key in keys:
                    await owner.find(key)
                with anyio.fail_after(timeout or None):  # outside the tasks, which would wrap its error
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(show, owner, keys, as_json)
                        found.extend(await owner.wait_until(keys, lambda standing: standing.over, not any_))
                        tasks.cancel_scope.cancel()

        run(go)
        tell(found, as_json)
        if any(standing.ran is None or standing.ran.status != 0 for standing in found):
            raise typer.Exit(1)

    def order(name: str, said: str):
        from linedeal.protocol import pb

        kind = {"hold": pb.HOLD, "release": pb.RELEASE, "kill": pb.END}[name]

        def command(keys: KEYS, contact: CONTACT = ""):
            async def go():
                async with opened(contact) as owner:
                    for key in keys:
                        await owner.find(key)
                        await owner.order(key, kind)
                        print(f"{key}  {line(owner.status(key))}")

            run(go)

        command.__doc__ = said
        app.command(name, epilog=f"Example: linedeal {name} --contact 127.0.0.1:7100/shop 3f2a-1")(command)

    order("hold", "Keeps jobs from being launched until released; refused once a launch is out.")
    order("release", "Lets held jobs go on, with the time to find a host that they had left.")
    order("kill", "Ends jobs: at once where no host has them, else as soon as their host says so.")

    @app.command(epilog="Example: linedeal key")
    def key():
        """A new key for a customer, and the hash that stands for it in the cluster file."""
        from linedeal.settings.keys import hash_of

        token = secrets.token_urlsafe(32)
        print(
            f"key for the customer (LINEDEAL_TOKEN, or a file named by LINEDEAL_TOKEN_FILE):\n  {token}\n"
            f'line for the cluster file, in the customer\'s block:\n  key = "{hash_of(token)}"'
        )

    @app.command("drmaa-library", epilog="Example: export DRMAA_LIBRARY_PATH=$(linedeal drmaa-library)")
    def drmaa_library(
        directory: Annotated[Optional[Path], typer.Option(help="else in the user's cache")] = None,
        header: Annotated[bool, typer.Option("--header", help="the directory of drmaa.h instead")] = False,
    ):
        """Prints the path of the shared library with the DRMAA 1.0 C interface; builds it at first."""
        from linedeal.drmaa import build

        if header:
            print(build.SOURCE)
            return
        try:
            print(build.library(directory))
        except build.BuildError as error:
            raise fault(str(error), 3) from None

    @app.command("drmaa-agent", hidden=True)
    def drmaa_agent(contact: str = ""):
        """The process behind the C library."""
        from linedeal.drmaa import agent

        # uvloop tells of each cancelled wait on a Unix socket as of a fault
        run(agent.serve, contact, fast=False)


def line(standing) -> str:
    """How a job stands, in one line."""
    words = [standing.stage]
    if standing.ending and not standing.over:
        words.append("(being ended)")
    if standing.host:
        words.append(f"at {standing.host}")
    if standing.ran is not None:
        said = "" if standing.ran.status is None else f"status {standing.ran.status}, "
        words.append(f"({said}{standing.ran.seconds:.1f} s, {standing.ran.core_seconds:.1f} core seconds)")
    if standing.reason:
        words.append(f": {standing.reason}")
    return " ".join(words).replace(" : ", ": ")


def tell(standings, as_json: bool) -> None:
    if as_json:
        import msgspec

        print(msgspec.json.encode(standings).decode())
        return
    width = max((len(standing.key) for standing in standings), default=0)
    for standing in standings:
        when = (
            datetime.fromtimestamp(standing.taken_at).strftime("%H:%M:%S")
            if standing.taken_at
            else "        "
        )
        print(
            f"{standing.key:{width}}  {when}  {standing.offering:14}  {standing.service:14}  {line(standing)}"
        )


async def show(owner, keys, quiet: bool) -> None:
    """A progress line on the terminal while something is waited for."""
    if quiet or not sys.stderr.isatty():
        return
    begun, last = anyio.current_time(), ""
    try:
        while True:
            counts: dict[str, int] = {}
            for key in keys:
                stage = owner.status(key).stage
                counts[stage] = counts.get(stage, 0) + 1
            said = (
                line(owner.status(keys[0]))
                if len(keys) == 1
                else ", ".join(f"{count} {stage}" for stage, count in counts.items())
            )
            last = f"\r{anyio.current_time() - begun:6.1f} s  {said}"
            sys.stderr.write(f"{last}\x1b[K")
            sys.stderr.flush()
            await anyio.sleep(LINE)
    finally:
        sys.stderr.write("\r\x1b[K" if last else "")
        sys.stderr.flush()
