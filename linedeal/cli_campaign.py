"""The commands `linedeal fleet campaign`: a release over a set of hosts, a few at a time.

Exit status 1: the change was not made, or the council gave no answer.
"""

import json
from typing import Annotated

import typer

from linedeal.cli_fleet import Cluster, Json, Key, Within


def add(fleet: typer.Typer, ask_council, command_error) -> None:
    """Adds the commands to `fleet`.

    `ask_council(cluster, key, work)` returns the result of `work(client, cluster)`, with a council client
    that is open meanwhile; `command_error(text, status)` makes the exception that ends a command with this
    exit status.
    """
    campaign = typer.Typer(
        no_args_is_help=True,
        help="A release over a set of hosts: drain, wait, replace, a few at a "
        "time. docs/campaign.md describes how to run one.",
    )
    fleet.add_typer(campaign, name="campaign")

    def ask(cluster, key, work):
        """Like `ask_council`, and ends the command where the request is not allowed or gets no answer."""
        from linedeal.duties.duty import DutyError
        from linedeal.fleet.operator import CouncilUnavailableError

        try:
            return ask_council(cluster, key, work)
        except (DutyError, CouncilUnavailableError) as error:
            raise command_error(str(error), 1) from None

    @campaign.command(
        "start",
        epilog="Example: linedeal fleet campaign start r42 --kind press --most 2 --dry-run "
        "--cluster examples/council.hcl",
    )
    def start(
        name: Annotated[str, typer.Argument(help="a new name for the campaign")],
        cluster: Cluster,
        hosts: Annotated[str, typer.Option(help="h01,h02; default: all that match the other options")] = "",
        kind: Annotated[list[str] | None, typer.Option(help="may be repeated")] = None,
        zone: Annotated[list[str] | None, typer.Option(help="may be repeated")] = None,
        cell: Annotated[list[int] | None, typer.Option(help="may be repeated")] = None,
        every: Annotated[bool, typer.Option("--all", help="all hosts in service")] = False,
        most: Annotated[int | None, typer.Option(help="hosts out of service at once")] = None,
        cells: Annotated[int | None, typer.Option(help="cells with a host out of service at once")] = None,
        room: Annotated[
            float | None, typer.Option(help="share of each kind's hosts out of service at once")
        ] = None,
        patience: Annotated[float | None, typer.Option(help="seconds for a host to drain")] = None,
        warm: Annotated[
            float | None, typer.Option(help="seconds until a replaced host counts as in service")
        ] = None,
        away: Annotated[float | None, typer.Option(help="seconds to wait for a host that is missing")] = None,
        strain: Annotated[
            float | None, typer.Option(help="share of refused or waiting work that pauses it")
        ] = None,
        dry_run: Annotated[bool, typer.Option("--dry-run", help="show the plan and change nothing")] = False,
        key: Key = None,
        within: Within = 5.0,
        as_json: Json = False,
    ):
        """Plans a release over hosts and starts it.

        The cluster file's bounds apply where none is given, or a wider one.
        """
        from dataclasses import replace

        from linedeal.duties.campaign import batches
        from linedeal.fleet import operator

        selection = operator.HostSelection(
            tuple(filter(None, hosts.split(","))), tuple(kind or ()), tuple(zone or ()), tuple(cell or ())
        )
        if not every and selection == operator.HostSelection():
            raise command_error("no hosts selected: use --hosts, --kind, --zone, --cell or --all", 2)
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

        async def work(client, settings):
            if settings.campaign.tool is None:
                raise command_error(f"{cluster}: it has no block campaign", 1)
            own_bounds = settings.campaign.bounds
            plan = operator.plan_campaign(
                name,
                await operator.list_hosts(client, within / 2),
                selection,
                replace(own_bounds, **given),
                own_bounds,
            )
            if not dry_run:
                await operator.start_campaign(client, plan, within / 2)
            return plan

        plan = ask(cluster, key, work)
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
            f"{len(plan.targets)} hosts in {len(groups)} batches or more: at most {bounds.most} hosts, "
            f"{bounds.cells} cells, {bounds.room:.0%} of a kind out at once; "
            f"{bounds.patience:g} s for a drain"
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
        """Shows the campaign: its owner, the hosts out of service, and why no further host is started."""
        from linedeal.duties.campaign import describe_progress
        from linedeal.fleet import operator

        current = ask(cluster, key, lambda client, settings: operator.campaign_status(client, within))
        plan, progress = current.plan, current.progress
        if plan is None:
            raise command_error("there has been no campaign", 1)
        begun = progress.id == plan.id
        if as_json:
            print(
                json.dumps(
                    {
                        "name": plan.id,
                        "want": plan.want.name.lower(),
                        "owner": current.duty.owner,
                        "token": current.duty.token,
                        "hosts": len(plan.targets),
                        "done": len(progress.done) if begun else 0,
                        "out": {update.host: update.stage.name.lower() for update in progress.out}
                        if begun
                        else {},
                        "left": {plan.targets[place]: reason for place, reason in progress.left.items()}
                        if begun
                        else {},
                        "stands": progress.stands if begun else "",
                        "ended": progress.ended if begun else "",
                    }
                )
            )
        else:
            print(describe_progress(plan, progress))
            print(f"owned by {current.duty.owner or 'nobody'}, token {current.duty.token}")

    def add_change_command(name: str, want: str, result: str, description: str) -> None:
        """Adds a command that sets what is wanted of the campaign."""

        @campaign.command(
            name,
            epilog=f"Example: linedeal fleet campaign {name} r42 --cluster examples/council.hcl",
            help=description,
        )
        def command(
            campaign_name: Annotated[str, typer.Argument(metavar="NAME")],
            cluster: Cluster,
            key: Key = None,
            within: Within = 5.0,
        ):
            from linedeal.duties.campaign import Want
            from linedeal.fleet import operator

            ask(
                cluster,
                key,
                lambda client, settings: operator.change_campaign(client, campaign_name, Want[want], within),
            )
            print(f"{campaign_name} {result}")

    add_change_command(
        "pause",
        "PAUSE",
        "begins no further host; those that are out of service are finished",
        "Starts no further host. A drain cannot be undone, so hosts that are out of service are finished.",
    )
    add_change_command("resume", "RUN", "continues", "Resumes a paused campaign.")
    add_change_command(
        "abort",
        "ABORT",
        "ends once the hosts that are out of service serve again",
        "Starts no further host, and ends once those that are out of service serve again.",
    )
