"""The commands `linedeal fleet`: the state of the council and of the duties, and changes to them.

Each command ends within `--within` seconds even if members are suspended or unreachable, and names those that
did not answer. Exit status 1: the change was not made, or part of the information is missing.
"""

import json
import random
from typing import Annotated

import anyio
import typer

Cluster = Annotated[str, typer.Option("--cluster", help="the cluster's HCL file")]
Key = Annotated[
    str | None,
    typer.Option("--council-key", help="file with the council's key; default: LINEDEAL_COUNCIL_KEY"),
]
Within = Annotated[float, typer.Option(help="time limit for the command in seconds", min=0.1, max=60.0)]
Json = Annotated[bool, typer.Option("--json", help="print JSON, for programs")]


def add(app: typer.Typer, run, key_in, command_error) -> None:
    """Adds the commands to `app`.

    `run(main)` runs a coroutine function and returns its result; `key_in(file)` returns the council's key;
    `command_error(text, status)` makes the exception that ends a command with this exit status.
    """
    fleet = typer.Typer(
        no_args_is_help=True,
        help="Work on behalf of the fleet: the duties and their owners, and the council "
        "that stores them. docs/council.md describes how to run it.",
    )
    council = typer.Typer(no_args_is_help=True, help="The council's members.")
    fleet.add_typer(council, name="council")
    app.add_typer(fleet, name="fleet")

    def ask_council(cluster: str, key: str | None, work):
        """Returns the result of `work(client, cluster)`, with a council client that is open meanwhile."""
        from linedeal.fleet.council_client import CouncilClient, CouncilRequestError
        from linedeal.net import TcpNet
        from linedeal.settings.cluster import read_cluster

        settings = read_cluster(cluster)
        if not settings.council.members:
            raise command_error(f"{cluster}: council: it names no members", 1)

        async def main():
            async with CouncilClient(
                settings.council, "an operator", key_in(key), TcpNet(), random.random
            ) as client:
                return await work(client, settings)

        try:
            return run(main)
        except CouncilRequestError as error:
            raise command_error(str(error), 1) from None

    # imported here, because it imports the options above from this module
    from linedeal import cli_campaign

    cli_campaign.add(fleet, ask_council, command_error)

    @council.command("status", epilog="Example: linedeal fleet council status --cluster examples/council.hcl")
    def status(cluster: Cluster, key: Key = None, within: Within = 2.0, as_json: Json = False):
        """Shows the state of each member, and which did not answer."""
        from linedeal.protocol import pb

        async def work(client, settings):
            found = {}

            async def read_status(member):
                reply = await client.request_member(member, pb.CouncilAsk(kind=pb.STATUS), within)
                found[member] = json.loads(reply.body) if reply is not None and reply.body else None

            async with anyio.create_task_group() as tasks:
                for member in settings.council.members:
                    tasks.start_soon(read_status, member)
            return {member: found[member] for member in settings.council.members}

        found = ask_council(cluster, key, work)
        if as_json:
            print(json.dumps(found))
        else:
            for member, member_status in found.items():
                print(f"{member}: {format_status(member_status, within)}")
        known = [member_status for member_status in found.values() if member_status]
        votes = sum(member_status["votes"] for member_status in known)
        raise typer.Exit(0 if len(known) == len(found) and votes == len(found) else 1)

    @council.command(
        "replace", epilog="Example: linedeal fleet council replace c2 c4 --cluster examples/council.hcl"
    )
    def replace(old: str, new: str, cluster: Cluster, key: Key = None, within: Within = 10.0):
        """Replaces member OLD by NEW, which must be running already.

        NEW may be OLD itself after it was started with a new directory.
        """
        from linedeal.council.records import Outcome
        from linedeal.protocol import pb

        reply = ask_council(
            cluster,
            key,
            lambda client, settings: client.request(pb.CouncilAsk(kind=pb.REPLACE, key=old, id=new), within),
        )
        if reply.outcome is not Outcome.DONE:
            raise command_error(
                f"not replaced: {reply.outcome.value}" + "".join(f"; {line}" for line in reply.unanswered), 1
            )
        print(f"{new} takes the place of {old}; `linedeal fleet council status` shows when it votes")

    @council.command(
        "vouch", epilog="Example: linedeal fleet council vouch c1 --cluster examples/council.hcl"
    )
    def vouch(member: str, cluster: Cluster, key: Key = None, within: Within = 2.0):
        """Confirms that a member's directory is its newest and no copy, when another member cannot be asked.

        The member then votes as soon as a majority knows it. If an older copy is confirmed, a duty may get
        two owners at once.
        """
        from linedeal.protocol import pb

        async def work(client, settings):
            if member not in settings.council.members:
                raise command_error(
                    f"{cluster}: council: {member} is no member: {', '.join(settings.council.members)}", 2
                )
            return await client.request_member(member, pb.CouncilAsk(kind=pb.VOUCH), within)

        reply = ask_council(cluster, key, work)
        if reply is None or reply.outcome != "DONE":
            raise command_error(f"{member} did not answer within {within:g} s", 1)
        print(f"{member} is vouched for, in this life")

    @fleet.command("duties", epilog="Example: linedeal fleet duties --cluster examples/council.hcl")
    def duties(cluster: Cluster, key: Key = None, within: Within = 2.0, as_json: Json = False):
        """Shows which controller owns each duty, and its fencing token."""
        from linedeal.council.records import Outcome
        from linedeal.duties import duty as duty_records
        from linedeal.fleet.duty_service import DUTIES

        async def work(client, settings):
            found = {}
            for name in DUTIES:
                reply = await client.read(name, within / len(DUTIES))
                found[name] = duty_records.decode(reply.value.body) if reply.outcome is Outcome.READ else None
            return found

        found = ask_council(cluster, key, work)
        shown = {
            name: None
            if duty is None
            else {
                "owner": duty.owner,
                "token": duty.token,
                "lease": duty.lease,
                "beat": duty.beat,
                "heir": duty.heir,
            }
            for name, duty in found.items()
        }
        if as_json:
            print(json.dumps(shown))
        else:
            for name, duty in shown.items():
                print(
                    f"{name}: "
                    + (
                        f"no majority of the council answered within {within:g} s"
                        if duty is None
                        else f"{duty['owner'] or 'nobody'}, token {duty['token']}, beat {duty['beat']}"
                    )
                )
        raise typer.Exit(0 if None not in shown.values() else 1)

    @fleet.command("hand", epilog="Example: linedeal fleet hand campaign --cluster examples/council.hcl")
    def hand(
        duty: str,
        cluster: Cluster,
        to: Annotated[
            str,
            typer.Option(help="NAME/LIFE of the controller to prefer as next owner, as `duties` shows them"),
        ] = "",
        key: Key = None,
        within: Within = 5.0,
    ):
        """Takes a duty from its owner.

        Once the next owner has begun, what the former one still sends is rejected.
        """
        from linedeal.duties.duty import DutyError
        from linedeal.fleet import operator
        from linedeal.fleet.duty_service import DUTIES

        if f"duty/{duty}" not in DUTIES:
            raise command_error(f"no duty {duty}: {', '.join(name.partition('/')[2] for name in DUTIES)}", 2)
        try:
            previous = ask_council(
                cluster, key, lambda client, settings: operator.hand_over(client, f"duty/{duty}", to, within)
            )
        except (DutyError, operator.CouncilUnavailableError) as error:
            raise command_error(str(error), 1) from None
        print(f"{duty} is taken from {previous.owner}")

    @fleet.command("census", epilog="Example: linedeal fleet census --cluster examples/council.hcl")
    def census(cluster: Cluster, key: Key = None, within: Within = 2.0, as_json: Json = False):
        """Shows the sums of all controllers' reports, and which controllers are missing in them."""
        from dataclasses import asdict

        from linedeal.council.records import Outcome
        from linedeal.duties import census as census_records

        reply = ask_council(
            cluster, key, lambda client, settings: client.read(census_records.CENSUS_KEY, within)
        )
        if reply.outcome is not Outcome.READ:
            raise command_error(
                f"no census: {reply.outcome.value}" + "".join(f"; {line}" for line in reply.unanswered), 1
            )
        if not reply.value.body:
            raise command_error("no census was made yet", 1)
        found = census_records.decode(reply.value.body, census_records.Census)
        if as_json:
            print(json.dumps(asdict(found)))
            return
        print(
            f"{found.controllers} controllers, reports up to {found.age:.1f} s old as it was made"
            + (f"; missing: {', '.join(found.missing)}" if found.missing else "")
        )
        for name, figure in sorted({**found.sums, **found.stands}.items()):
            print(f"  {name:28} {figure:12g}")


def format_status(status: dict | None, within: float) -> str:
    """Returns a member's status as one line. `status` is None if the member did not answer."""
    if status is None:
        return f"did not answer within {within:g} s"
    if status["retired"]:
        return f"retired: {status['retired']}"
    if not status["epoch"]:
        where = f"; the council is {', '.join(status['elsewhere'])}" if status["elsewhere"] else ""
        return f"belongs to no council yet{where}"
    how = (
        "votes"
        if status["votes"]
        else f"does not vote yet, known by {', '.join(status['known_by']) or 'nobody'}"
    )
    return f"{how}; epoch {status['epoch']}, members {', '.join(status['members'])}" + (
        f"; may come in: {', '.join(status['candidates'])}" if status["candidates"] else ""
    )
