"""`linedeal fleet`: what operators ask of the council, and what it is told. Each answers within `--within`, whoever is
frozen, and names whom it could not learn from. Exit status 1: it was not done, or not all could be learned.
"""

import json
import random
from typing import Annotated, Optional

import anyio
import typer

Cluster = Annotated[str, typer.Option("--cluster", help="the cluster's HCL file")]
Key = Annotated[
    Optional[str],
    typer.Option("--council-key", help="file that holds the council's key; or LINEDEAL_COUNCIL_KEY holds it"),
]
Within = Annotated[float, typer.Option(help="seconds until it answers, at most", min=0.1, max=60.0)]
Json = Annotated[bool, typer.Option("--json", help="for programs")]


def add(app: typer.Typer, run, key_in, fault) -> None:
    """The commands; `fault(text, status)` is the command line's own exception."""
    fleet = typer.Typer(
        no_args_is_help=True,
        help="Work on behalf of the fleet: its owners, and the council that "
        "keeps them. docs/council.md has how to run it.",
    )
    council = typer.Typer(no_args_is_help=True, help="The council's members.")
    fleet.add_typer(council, name="council")
    app.add_typer(fleet, name="fleet")

    def asked(cluster: str, key: Optional[str], work):
        """What `work(asker, cluster)` returns, with an asker that lives meanwhile."""
        from linedeal.fleet.council_client import CouncilClient, CouncilRequestError
        from linedeal.net import TcpNet
        from linedeal.settings.cluster import read_cluster

        settings = read_cluster(cluster)
        if not settings.council.members:
            raise fault(f"{cluster}: council: it names no members", 1)

        async def main():
            async with CouncilClient(
                settings.council, "an operator", key_in(key), TcpNet(), random.random
            ) as asker:
                return await work(asker, settings)

        try:
            return run(main)
        except CouncilRequestError as error:
            raise fault(str(error), 1) from None

    # only now: it takes its options from here
    from linedeal import cli_campaign

    cli_campaign.add(fleet, asked, fault)

    @council.command("status", epilog="Example: linedeal fleet council status --cluster examples/council.hcl")
    def status(cluster: Cluster, key: Key = None, within: Within = 2.0, as_json: Json = False):
        """How each member stands, and who did not answer."""
        from linedeal.protocol import pb

        async def work(asker, settings):
            found = {}

            async def one(member):
                told = await asker.ask_member(member, pb.CouncilAsk(kind=pb.STATUS), within)
                found[member] = json.loads(told.body) if told is not None and told.body else None

            async with anyio.create_task_group() as tasks:
                for member in settings.council.members:
                    tasks.start_soon(one, member)
            return {member: found[member] for member in settings.council.members}

        found = asked(cluster, key, work)
        if as_json:
            print(json.dumps(found))
        else:
            for member, stands in found.items():
                print(f"{member}: {line(stands, within)}")
        known = [stands for stands in found.values() if stands]
        votes = sum(stands["votes"] for stands in known)
        raise typer.Exit(0 if len(known) == len(found) and votes == len(found) else 1)

    @council.command(
        "replace", epilog="Example: linedeal fleet council replace c2 c4 --cluster examples/council.hcl"
    )
    def replace(old: str, new: str, cluster: Cluster, key: Key = None, within: Within = 10.0):
        """Puts one member in the place of another; NEW may be OLD with a new directory. It must run already."""
        from linedeal.council.records import Outcome
        from linedeal.protocol import pb

        told = asked(
            cluster,
            key,
            lambda asker, settings: asker.ask(pb.CouncilAsk(kind=pb.REPLACE, key=old, id=new), within),
        )
        if told.outcome is not Outcome.DONE:
            raise fault(f"not replaced: {told.outcome.value}" + "".join(f"; {one}" for one in told.silent), 1)
        print(f"{new} takes the place of {old}; `linedeal fleet council status` shows when it votes")

    @council.command(
        "vouch", epilog="Example: linedeal fleet council vouch c1 --cluster examples/council.hcl"
    )
    def vouch(member: str, cluster: Cluster, key: Key = None, within: Within = 2.0):
        """Says that a member's directory is the one it wrote last, and no copy, where another cannot be asked.

        It votes then as soon as a majority knows it. Said of an older copy, two owners may be made at once.
        """
        from linedeal.protocol import pb

        async def work(asker, settings):
            if member not in settings.council.members:
                raise fault(
                    f"{cluster}: council: {member} is no member: {', '.join(settings.council.members)}", 2
                )
            return await asker.ask_member(member, pb.CouncilAsk(kind=pb.VOUCH), within)

        told = asked(cluster, key, work)
        if told is None or told.outcome != "DONE":
            raise fault(f"{member} did not answer within {within:g} s", 1)
        print(f"{member} is vouched for, in this life")

    @fleet.command("duties", epilog="Example: linedeal fleet duties --cluster examples/council.hcl")
    def duties(cluster: Cluster, key: Key = None, within: Within = 2.0, as_json: Json = False):
        """Who owns which duty, and by which token."""
        from linedeal.council.records import Outcome
        from linedeal.duties import duty as kept
        from linedeal.fleet.duty_service import DUTIES

        async def work(asker, settings):
            found = {}
            for name in DUTIES:
                told = await asker.read(name, within / len(DUTIES))
                found[name] = kept.decode(told.value.body) if told.outcome is Outcome.READ else None
            return found

        found = asked(cluster, key, work)
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
            typer.Option(help="NAME/LIFE of the controller that may have it first, as `duties` shows them"),
        ] = "",
        key: Key = None,
        within: Within = 5.0,
    ):
        """Takes a duty from its owner. What the owner still sends is refused once the next has begun."""
        from linedeal.duties.duty import DutyError
        from linedeal.fleet import operator
        from linedeal.fleet.duty_service import DUTIES

        if f"duty/{duty}" not in DUTIES:
            raise fault(f"no duty {duty}: {', '.join(name.partition('/')[2] for name in DUTIES)}", 2)
        try:
            was = asked(
                cluster, key, lambda asker, settings: operator.hand_over(asker, f"duty/{duty}", to, within)
            )
        except (DutyError, operator.CouncilUnavailableError) as error:
            raise fault(str(error), 1) from None
        print(f"{duty} is taken from {was.owner}")

    @fleet.command("census", epilog="Example: linedeal fleet census --cluster examples/council.hcl")
    def census(cluster: Cluster, key: Key = None, within: Within = 2.0, as_json: Json = False):
        """What all controllers see, summed up; who is missing in it."""
        from dataclasses import asdict

        from linedeal.council.records import Outcome
        from linedeal.duties import census as sums

        told = asked(cluster, key, lambda asker, settings: asker.read(sums.CENSUS_KEY, within))
        if told.outcome is not Outcome.READ:
            raise fault(f"no census: {told.outcome.value}" + "".join(f"; {one}" for one in told.silent), 1)
        if not told.value.body:
            raise fault("no census was made yet", 1)
        found = sums.decode(told.value.body, sums.Census)
        if as_json:
            print(json.dumps(asdict(found)))
            return
        print(
            f"{found.controllers} controllers, reports up to {found.age:.1f} s old as it was made"
            + (f"; missing: {', '.join(found.missing)}" if found.missing else "")
        )
        for name, figure in sorted({**found.sums, **found.stands}.items()):
            print(f"  {name:28} {figure:12g}")


def line(stands: dict | None, within: float) -> str:
    if stands is None:
        return f"did not answer within {within:g} s"
    if stands["retired"]:
        return f"retired: {stands['retired']}"
    if not stands["epoch"]:
        where = f"; the council is {', '.join(stands['elsewhere'])}" if stands["elsewhere"] else ""
        return f"belongs to no council yet{where}"
    how = (
        "votes"
        if stands["votes"]
        else f"does not vote yet, known by {', '.join(stands['known_by']) or 'nobody'}"
    )
    return f"{how}; epoch {stands['epoch']}, members {', '.join(stands['members'])}" + (
        f"; may come in: {', '.join(stands['candidates'])}" if stands["candidates"] else ""
    )
