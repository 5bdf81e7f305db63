"""`linedeal fleet campaign`: a release over a set of hosts, a few at a time. Exit status 1: it was not done, or could not
be learned."""

import json
from typing import Annotated, Optional

import typer

from linedeal.cli_fleet import Cluster, Json, Key, Within


def add(fleet: typer.Typer, asked, fault) -> None:
    """`asked(cluster, key, work)` returns what `work(asker, cluster)` does with an asker that lives meanwhile."""
    campaign = typer.Typer(
        no_args_is_help=True,
        help="A release over a set of hosts: drain, wait, replace, a few at a "
        "time. docs/campaign.md has how to run one.",
    )
    fleet.add_typer(campaign, name="campaign")

    def told(cluster, key, work):
        from linedeal.duties.duty import DutyError
        from linedeal.fleet.operator import CouncilUnavailableError

        try:
            return asked(cluster, key, work)
        except (DutyError, CouncilUnavailableError) as error:
            raise fault(str(error), 1) from None

    @campaign.command(
        "start",
        epilog="Example: linedeal fleet campaign start r42 --kind press --most 2 --dry-run "
        "--cluster examples/council.hcl",
    )
    def start(
        name: Annotated[str, typer.Argument(help="of the campaign, used once")],
        cluster: Cluster,
        hosts: Annotated[str, typer.Option(help="h01,h02; else all that fit the other options")] = "",
        kind: Annotated[Optional[list[str]], typer.Option(help="may be given again")] = None,
        zone: Annotated[Optional[list[str]], typer.Option(help="may be given again")] = None,
        cell: Annotated[Optional[list[int]], typer.Option(help="may be given again")] = None,
        every: Annotated[bool, typer.Option("--all", help="all hosts that serve")] = False,
        most: Annotated[Optional[int], typer.Option(help="hosts out at once")] = None,
        cells: Annotated[Optional[int], typer.Option(help="cells with a host out at once")] = None,
        room: Annotated[Optional[float], typer.Option(help="share of each kind's hosts out at once")] = None,
        patience: Annotated[Optional[float], typer.Option(help="seconds for a drain")] = None,
        warm: Annotated[Optional[float], typer.Option(help="seconds until a successor counts")] = None,
        away: Annotated[Optional[float], typer.Option(help="seconds for a host that is not there")] = None,
        strain: Annotated[Optional[float], typer.Option(help="share at which it pauses by itself")] = None,
        dry_run: Annotated[
            bool, typer.Option("--dry-run", help="shows the plan and changes nothing")
        ] = False,
        key: Key = None,
        within: Within = 5.0,
        as_json: Json = False,
    ):
        """Plans a release over hosts and begins it. Bounds that are not given, or are wider, are the cluster file's."""
        from dataclasses import replace

        from linedeal.duties.campaign import batches
        from linedeal.fleet import operator

        choice = operator.HostSelection(
            tuple(filter(None, hosts.split(","))), tuple(kind or ()), tuple(zone or ()), tuple(cell or ())
        )
        if not every and choice == operator.HostSelection():
            raise fault("which hosts: --hosts, --kind, --zone, --cell or --all", 2)
        given = {
            name: value
            for name, value in (
                ("most", most),
                ("cells", cells),
                ("room", room),
                ("patience", patience),
                ("warm", warm),
                ("away", away),
                ("strain", strain),
            )
            if value is not None
        }

        async def work(asker, settings):
            if settings.campaign.tool is None:
                raise fault(f"{cluster}: it has no block campaign", 1)
            mine = settings.campaign.bounds
            plan = operator.plan_campaign(
                name, await operator.list_hosts(asker, within / 2), choice, replace(mine, **given), mine
            )
            if not dry_run:
                await operator.start_campaign(asker, plan, within / 2)
            return plan

        plan = told(cluster, key, work)
        groups = batches(plan)
        if as_json:
            print(
                json.dumps(
                    {"name": name, "begun": not dry_run, "hosts": len(plan.targets), "batches": groups}
                )
            )
            return
        for number, batch in enumerate(groups, 1):
            print(f"{number:4}  {', '.join(batch)}")
        bounds = plan.bounds
        print(
            f"{len(plan.targets)} hosts in {len(groups)} batches or more: at most {bounds.most} hosts, {bounds.cells} "
            f"cells, {bounds.room:.0%} of a kind out at once; {bounds.patience:g} s for a drain"
        )
        print(
            "nothing was changed"
            if dry_run
            else f"begun; see: linedeal fleet campaign status --cluster {cluster}"
        )

    @campaign.command(
        "status", epilog="Example: linedeal fleet campaign status --cluster examples/council.hcl"
    )
    def status(cluster: Cluster, key: Key = None, within: Within = 2.0, as_json: Json = False):
        """How the campaign stands: who owns it, which hosts are out, and why no further one is begun."""
        from linedeal.duties.campaign import describe_progress
        from linedeal.fleet import operator

        stands = told(cluster, key, lambda asker, settings: operator.campaign_status(asker, within))
        plan, progress = stands.plan, stands.progress
        if plan is None:
            raise fault("there has been no campaign", 1)
        begun = progress.id == plan.id
        if as_json:
            print(
                json.dumps(
                    {
                        "name": plan.id,
                        "want": plan.want.name.lower(),
                        "owner": stands.duty.owner,
                        "token": stands.duty.token,
                        "hosts": len(plan.targets),
                        "done": len(progress.done) if begun else 0,
                        "out": {turn.host: turn.stage.name.lower() for turn in progress.out} if begun else {},
                        "left": {plan.targets[place]: why for place, why in progress.left.items()}
                        if begun
                        else {},
                        "stands": progress.stands if begun else "",
                        "ended": progress.ended if begun else "",
                    }
                )
            )
        else:
            print(describe_progress(plan, progress))
            print(f"owned by {stands.duty.owner or 'nobody'}, token {stands.duty.token}")

    def wish_command(name: str, want: str, says: str, means: str) -> None:
        @campaign.command(
            name,
            epilog=f"Example: linedeal fleet campaign {name} r42 --cluster examples/council.hcl",
            help=means,
        )
        def command(
            campaign_name: Annotated[str, typer.Argument(metavar="NAME")],
            cluster: Cluster,
            key: Key = None,
            within: Within = 5.0,
        ):
            from linedeal.duties.campaign import Want
            from linedeal.fleet import operator

            told(
                cluster,
                key,
                lambda asker, settings: operator.change_campaign(asker, campaign_name, Want[want], within),
            )
            print(f"{campaign_name} {says}")

    wish_command(
        "pause",
        "PAUSE",
        "begins no further host; those that are out are seen through",
        "Begins no further host; a drain cannot be called back, so those that are out are seen through.",
    )
    wish_command("resume", "RUN", "goes on", "Lets a paused campaign go on.")
    wish_command(
        "abort",
        "ABORT",
        "ends once the hosts that are out serve again",
        "Begins no further host and ends once those that are out serve again.",
    )
