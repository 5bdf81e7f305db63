"""The commands for owners of jobs. They open the session that `--contact` or LINEDEAL_CONTACT names."""

import json
import os
import secrets
import sys
from contextlib import asynccontextmanager
from datetime import datetime
from pathlib import Path
from typing import Annotated

import anyio
import typer

CONTACT = Annotated[
    str, typer.Option(help="HOST:PORT,.../SESSION[?customer=NAME]", envvar="LINEDEAL_CONTACT")
]
JSON = Annotated[bool, typer.Option("--json", help="print JSON, for programs")]
KEYS = Annotated[
    list[str], typer.Argument(metavar="JOBS...", help="keys, as `submit` and `status` print them")
]
SERVICE = Annotated[str, typer.Option(help="default: the name of the command")]
WAIT = Annotated[
    float,
    typer.Option(help="seconds within which a host has to be found; 0: as long as the offering allows"),
]
PROGRESS_INTERVAL = 0.25  # seconds between two updates of the progress line


def add(app: typer.Typer, run, command_error) -> None:
    """Adds the commands to `app`.

    `run` runs a coroutine function; `command_error(text, status)` returns the exception that ends a command
    with this exit status.
    """

    @asynccontextmanager
    async def open_session(contact: str):
        from linedeal.client.client import JobDeclinedError
        from linedeal.client.contact import ContactError, parse_contact, read_token
        from linedeal.client.owner import NoSuchJobError, OrderRefusedError, Owner, SessionOpenError
        from linedeal.net import TcpNet

        try:
            parsed = parse_contact(contact) if contact else None
            token = read_token(parsed.customer) if parsed else ""
        except ContactError as error:
            raise command_error(f"contact {error}", 2) from None
        if parsed is None:
            raise command_error("no contact: --contact or LINEDEAL_CONTACT", 2)
        try:
            async with Owner.open(TcpNet(), parsed, token) as owner:
                yield owner
        except SessionOpenError as error:
            raise command_error(str(error), 3) from None
        except NoSuchJobError as error:
            raise command_error(
                f"no job {error.args[0]!r} in session {parsed.session or 'without a name'}", 1
            ) from None
        except OrderRefusedError as error:
            raise command_error(f"refused: {error}", 1) from None
        except JobDeclinedError as error:
            raise command_error(f"turned away: {error}", 1) from None
        except TimeoutError:
            raise command_error("timed out", 1) from None

    def request_and_work(offering, command, service, customer, cores, memory, wait, name):
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
        command: Annotated[list[str] | None, typer.Argument(help="the command that the host runs")] = None,
        contact: CONTACT = "",
        service: SERVICE = "",
        customer: str = "",
        cores: float = 1.0,
        memory: float = 1.0,
        wait: WAIT = 0.0,
        name: str = "",
        as_json: JSON = False,
    ):
        """Submits a job, follows it and exits with its status, or 1 if it has none. Ctrl-C ends the job."""
        from linedeal.client.owner import END, NoSuchJobError, OrderRefusedError

        request, work = request_and_work(
            offering, command or [], service, customer, cores, memory, wait, name
        )
        results = []

        async def go():
            async with open_session(contact) as owner:
                key = await owner.submit(request, work=work)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(show_progress, owner, [key], as_json)
                    tasks.start_soon(end_on_signal, owner, key)
                    results.append(await owner.wait_until_over(key))
                    tasks.cancel_scope.cancel()
                await owner.forget(key)

        async def end_on_signal(owner, key):
            import signal

            with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
                async for _ in signals:
                    try:
                        await owner.order(key, END)
                    except (OrderRefusedError, NoSuchJobError):
                        pass  # it has already ended

        run(go)
        print_statuses(results, as_json)
        ran = results[0].ran
        raise typer.Exit(ran.status if ran and ran.status is not None else 1)

    @app.command(
        "submit",
        epilog="Example: linedeal submit press-feed --contact 127.0.0.1:7100/shop --cores 2 -- feed 7",
    )
    def submit(
        offering: str,
        command: Annotated[list[str] | None, typer.Argument(help="the command that the host runs")] = None,
        contact: CONTACT = "",
        service: SERVICE = "",
        customer: str = "",
        cores: float = 1.0,
        memory: float = 1.0,
        wait: WAIT = 0.0,
        name: str = "",
        hold: bool = False,
        start_in: Annotated[float, typer.Option(help="seconds")] = 0.0,
        key: Annotated[
            str, typer.Option(help="the job's key; submitting the same key again joins the existing job")
        ] = "",
        bulk: Annotated[
            str, typer.Option(help="BEGIN-END[:STEP]; $drmaa_incr_ph$ in arguments becomes the index")
        ] = "",
        answer: Annotated[
            bool, typer.Option(help="wait for the answer; exit status 0 only if placed")
        ] = False,
        to: Annotated[
            str,
            typer.Option(
                help="HOST:PORT of one controller: submit without a session and wait for the answer"
            ),
        ] = "",
        as_json: JSON = False,
    ):
        """Submits a job, or a bulk, and prints its key as soon as it is accepted."""
        request, work = request_and_work(
            offering, command or [], service, customer, cores, memory, wait, name
        )
        if to:
            return without_session(to, request, as_json)
        if contact and "/" not in contact:
            raise command_error(f"contact {contact!r} names no session: the job could not be found again", 2)
        works = works_of_bulk(work, bulk) if bulk else []
        statuses = []

        async def go():
            async with open_session(contact) as owner:
                if bulk:
                    requests = [(request, f"{key or owner.key_prefix}.{work.index}", work) for work in works]
                    keys = await owner.submit_many(requests, hold, start_in)
                else:
                    keys = [await owner.submit(request, key, work, hold, start_in)]
                if answer:
                    await owner.wait_until(keys, lambda status: status.answered, every=True)
                statuses.extend(owner.status(key) for key in keys)

        run(go)
        if as_json:
            print_statuses(statuses, True)
        else:
            print(*(f"{s.key}  {describe(s)}" if answer else s.key for s in statuses), sep="\n")
        if answer and any(status.stage in ("rejected", "written off", "refused") for status in statuses):
            raise typer.Exit(1)

    def without_session(to, request, as_json):
        from linedeal.client import Client, ConnectionLostError, JobDeclinedError
        from linedeal.net import TcpNet, parse_address

        try:
            address = parse_address(to)
        except ValueError as error:
            raise command_error(str(error), 2) from None
        result: dict = {}

        async def go():
            try:
                async with Client.connect(TcpNet(), address, "submit") as client:
                    answer = await client.submit(request)
                result.update(verdict=answer.verdict, job=answer.job, host=answer.host)
            except JobDeclinedError as error:
                result.update(verdict="turned away", reason=str(error), retry_after=error.retry_after)
            except ConnectionLostError as error:
                result.update(verdict="lost", reason=str(error), may_have_run=error.may_have_run)

        run(go)
        print(json.dumps(result) if as_json else ", ".join(f"{k} {v}" for k, v in result.items() if v != ""))
        raise typer.Exit(0 if result["verdict"] == "placed" else 1)

    def works_of_bulk(work, bulk):
        from linedeal.drmaa import errors, translate
        from linedeal.protocol import pb

        try:
            ends, _, step = bulk.partition(":")
            begin, _, end = ends.partition("-")
            indices = translate.indices(int(begin), int(end), int(step or 1))
        except (ValueError, errors.InvalidArgument) as error:
            raise command_error(f"--bulk {bulk}: {error}", 2) from None
        return [translate.at_index(work or pb.Work(), index) for index in indices]

    @app.command(epilog="Example: linedeal status --contact 127.0.0.1:7100/shop")
    def status(
        keys: Annotated[list[str] | None, typer.Argument()] = None,
        contact: CONTACT = "",
        as_json: JSON = False,
    ):
        """Prints the status of the named jobs, or of all jobs of the session that have not ended."""
        print_session(contact, keys, as_json, lambda status: not status.over)

    @app.command(epilog="Example: linedeal history --contact 127.0.0.1:7100/shop --json")
    def history(contact: CONTACT = "", as_json: JSON = False):
        """Prints all jobs of the session, including ended ones that are still stored, with resource usage."""
        print_session(contact, None, as_json, lambda status: True)

    def print_session(contact, keys, as_json, predicate):
        results = []

        async def go():
            async with open_session(contact) as owner:
                await wait_for_controllers(owner)
                results.extend(
                    [await owner.find(key) for key in keys]
                    if keys
                    else [owner.status(key) for key in owner.keys() if predicate(owner.status(key))]
                )
                results.sort(key=lambda status: status.taken_at or 0.0)

        run(go)
        print_statuses(results, as_json)

    async def wait_for_controllers(owner):
        """Waits for all controllers for a while, and names on standard error those that do not answer."""
        from linedeal.client.owner import NOT_CONNECTED_YET

        with anyio.move_on_after(3.0):
            while any(controller.last_error == NOT_CONNECTED_YET for controller in owner.controllers):
                await owner.wait_for_change()
        for controller in owner.controllers:
            if not controller.synced:
                print(f"linedeal: {controller} does not answer: {controller.last_error}", file=sys.stderr)

    @app.command(epilog="Example: linedeal wait --contact 127.0.0.1:7100/shop --any 3f2a-1 3f2a-2")
    def wait(
        keys: KEYS,
        contact: CONTACT = "",
        any_: Annotated[bool, typer.Option("--any", help="wait until any one job has ended")] = False,
        timeout: Annotated[float, typer.Option(help="seconds; 0: no limit")] = 0.0,
        as_json: JSON = False,
    ):
        """Waits until jobs have ended. Exit status 0 only if all that ended ran and have exit status 0."""
        results = []

        async def go():
            async with open_session(contact) as owner:
                for key in keys:
                    await owner.find(key)
                # outside the task group, which would wrap the TimeoutError in an exception group
                with anyio.fail_after(timeout or None):
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(show_progress, owner, keys, as_json)
                        results.extend(await owner.wait_until(keys, lambda status: status.over, not any_))
                        tasks.cancel_scope.cancel()

        run(go)
        print_statuses(results, as_json)
        if any(status.ran is None or status.ran.status != 0 for status in results):
            raise typer.Exit(1)

    def add_order_command(name: str, help_text: str):
        from linedeal.protocol import pb

        kind = {"hold": pb.HOLD, "release": pb.RELEASE, "kill": pb.END}[name]

        def command(keys: KEYS, contact: CONTACT = ""):
            async def go():
                async with open_session(contact) as owner:
                    for key in keys:
                        await owner.find(key)
                        await owner.order(key, kind)
                        print(f"{key}  {describe(owner.status(key))}")

            run(go)

        command.__doc__ = help_text
        app.command(name, epilog=f"Example: linedeal {name} --contact 127.0.0.1:7100/shop 3f2a-1")(command)

    add_order_command(
        "hold", "Keeps jobs from being launched until released; refused once a launch has been sent."
    )
    add_order_command("release", "Releases held jobs, with the time for finding a host that they had left.")
    add_order_command(
        "kill", "Ends jobs: at once if no host has them, otherwise when their host confirms it."
    )

    @app.command(epilog="Example: linedeal key")
    def key():
        """Generates a key for a customer, and the hash of it for the cluster file."""
        from linedeal.settings.keys import hash_of

        token = secrets.token_urlsafe(32)
        print(
            f"key for the customer (LINEDEAL_TOKEN, or a file named by LINEDEAL_TOKEN_FILE):\n  {token}\n"
            f'line for the cluster file, in the customer\'s block:\n  key = "{hash_of(token)}"'
        )

    @app.command("drmaa-library", epilog="Example: export DRMAA_LIBRARY_PATH=$(linedeal drmaa-library)")
    def drmaa_library(
        directory: Annotated[Path | None, typer.Option(help="default: the user's cache")] = None,
        header: Annotated[
            bool, typer.Option("--header", help="print the directory of drmaa.h instead")
        ] = False,
    ):
        """Prints the path of the shared library with the DRMAA 1.0 C interface; builds it if needed."""
        from linedeal.drmaa import build

        if header:
            print(build.SOURCE)
            return
        try:
            print(build.library(directory))
        except build.BuildError as error:
            raise command_error(str(error), 3) from None

    @app.command("drmaa-agent", hidden=True)
    def drmaa_agent(contact: str = ""):
        """Runs the agent process of the C library."""
        from linedeal.drmaa import agent

        # not uvloop, which reports each cancelled wait on a Unix socket as an error
        run(agent.serve, contact, fast=False)


def describe(status) -> str:
    """A job's status in one line."""
    words = [status.stage]
    if status.ending and not status.over:
        words.append("(being ended)")
    if status.host:
        words.append(f"at {status.host}")
    if status.ran is not None:
        exit_status = "" if status.ran.status is None else f"status {status.ran.status}, "
        words.append(f"({exit_status}{status.ran.seconds:.1f} s, {status.ran.core_seconds:.1f} core seconds)")
    if status.reason:
        words.append(f": {status.reason}")
    return " ".join(words).replace(" : ", ": ")


def print_statuses(statuses, as_json: bool) -> None:
    """Prints the statuses as a table, or as a JSON array."""
    if as_json:
        import msgspec

        print(msgspec.json.encode(statuses).decode())
        return
    width = max((len(status.key) for status in statuses), default=0)
    for status in statuses:
        time = datetime.fromtimestamp(status.taken_at).strftime("%H:%M:%S") if status.taken_at else "        "
        print(f"{status.key:{width}}  {time}  {status.offering:14}  {status.service:14}  {describe(status)}")


async def show_progress(owner, keys, quiet: bool) -> None:
    """Updates a progress line on the terminal until it is cancelled; does nothing without a terminal."""
    if quiet or not sys.stderr.isatty():
        return
    started_at, last = anyio.current_time(), ""
    try:
        while True:
            counts: dict[str, int] = {}
            for key in keys:
                stage = owner.status(key).stage
                counts[stage] = counts.get(stage, 0) + 1
            summary = (
                describe(owner.status(keys[0]))
                if len(keys) == 1
                else ", ".join(f"{count} {stage}" for stage, count in counts.items())
            )
            last = f"\r{anyio.current_time() - started_at:6.1f} s  {summary}"
            sys.stderr.write(f"{last}\x1b[K")
            sys.stderr.flush()
            await anyio.sleep(PROGRESS_INTERVAL)
    finally:
        sys.stderr.write("\r\x1b[K" if last else "")
        sys.stderr.flush()
