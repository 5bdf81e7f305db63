"""Plots the load of all hosts over time. Only this module needs matplotlib."""

from collections.abc import Sequence
from pathlib import Path

from linedeal.lab.balance_metrics import Arrival, HostSample, spread_over_time


def plot_load(
    path: Path,
    days: dict[str, tuple[Sequence[HostSample], Sequence[Arrival]]],
    troubles: Sequence[tuple[float, str]] = (),
) -> None:
    """Writes a PNG with one heat map for each policy, with a row for each host, ordered by kind and zone.

    Below them follow the ratio of the maximum to the mean load, and the launches per second that were refused
    for lack of capacity.

    `days`: samples and arrivals by policy. `troubles`: times in seconds and names, drawn as vertical lines.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(days) + 2, 1, figsize=(11, 2.6 * (len(days) + 2)), sharex=True, layout="constrained"
    )
    for axis, (policy, (samples, _)) in zip(axes, days.items(), strict=False):
        hosts = sorted({(sample.kind, sample.zone, sample.host) for sample in samples})
        rows = {host: row for row, (*_, host) in enumerate(hosts)}
        times = sorted({sample.t for sample in samples})
        columns = {t: column for column, t in enumerate(times)}
        grid = [[float("nan")] * len(times) for _ in hosts]
        for sample in samples:
            grid[rows[sample.host]][columns[sample.t]] = sample.asked
        image = axis.imshow(
            grid,
            aspect="auto",
            origin="lower",
            vmin=0,
            vmax=1,
            cmap="viridis",
            interpolation="nearest",
            extent=(times[0], times[-1], 0, len(hosts)),
        )
        axis.set_ylabel("host, by kind and zone")
        axis.set_title(f"{policy}: requested cores as a share of those that the host accepts", fontsize=10)
        figure.colorbar(image, ax=axis, fraction=0.03, pad=0.01)
    for policy, (samples, arrivals) in days.items():
        for kind in sorted({sample.kind for sample in samples}):
            ratios = [
                (t, spread.most_over_mean)
                for t, sample_kind, spread in spread_over_time(samples)
                if sample_kind == kind
            ]
            axes[-2].plot(*zip(*ratios, strict=False), label=f"{policy}, {kind}", linewidth=1)
        refusals: dict[int, int] = {}  # by second
        for arrival in arrivals:
            refusals[int(arrival.t)] = refusals.get(int(arrival.t), 0) + arrival.refused
        axes[-1].step(
            sorted(refusals), [refusals[t] for t in sorted(refusals)], where="post", label=policy, linewidth=1
        )
    axes[-2].set_ylabel("most over mean")
    axes[-2].set_ylim(1, 4)
    axes[-1].set_ylabel("turned away, 1/s")
    axes[-1].set_xlabel("seconds")
    for axis in axes[-2:]:
        axis.legend(fontsize=8)
        axis.grid(alpha=0.3)
    for t, name in troubles:
        for axis in axes:
            axis.axvline(t, color="red", linewidth=0.8)
        axes[-2].text(t, 3.8, f" {name}", color="red", fontsize=8, va="top")
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
