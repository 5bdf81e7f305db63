"""The load generator: owners that submit jobs, wait for answers, and retry where that is safe."""

from dataclasses import dataclass, field
from random import Random

import anyio
from hdrh.histogram import HdrHistogram

from linedeal.client import Client, ConnectionLostError, JobDeclinedError, JobRequest
from linedeal.client.contact import Contact
from linedeal.client.owner import Owner
from linedeal.interface import Effect
from linedeal.lab.day import Day, Stream
from linedeal.net import Net

MAX_ATTEMPTS = 4  # submissions of one job in all
RETRY_DELAY = (0.3, 1.2)  # range of seconds before an owner submits a job again
ANSWER_TIMEOUT = 10.0  # seconds past a job's expiry after which its owner stops waiting for the answer


@dataclass(slots=True)
class Tally:
    """What the owners observed, by offering."""

    asked: dict[str, int] = field(default_factory=dict)  # jobs submitted
    ends: dict[str, dict[str, int]] = field(default_factory=dict)  # by how the job ended for its owner
    # milliseconds from the time at which a job was due to be submitted, even if it was late, to its answer
    delays: dict[str, HdrHistogram] = field(default_factory=dict)

    def record_delay(self, offering: str, seconds: float) -> None:
        """Adds one job's time to its answer."""
        if offering not in self.delays:
            self.delays[offering] = HdrHistogram(1, 600_000, 3)
        self.delays[offering].record_value(max(1, round(1000 * seconds)))

    def count(self, offering: str, end: str) -> None:
        """Counts one job that ended with `end`."""
        ends = self.ends.setdefault(offering, {})
        ends[end] = ends.get(end, 0) + 1


class LoadGenerator:
    """Submits the jobs of a day's streams in an open loop: a late answer does not delay the next job."""

    def __init__(
        self, day: Day, net: Net, addresses: dict[str, tuple], tally: Tally, part: int = 0, parts: int = 1
    ):
        """`addresses`: of controllers, by name. Each of `parts` generators submits an equal share."""
        self.day, self.net, self.addresses, self.tally = day, net, addresses, tally
        self.part, self.parts = part, parts
        self.random = Random(day.seed * 1000 + 1)
        self.links: dict[str, Client] = {}
        self.owners: list[Owner] = []  # owners of sessions; each connects to another controller first
        self.factor = 1.0  # multiplies the rate of all streams
        self.heavy: dict[str, float] = {}  # by offering: factor of the requested cores and memory
        self.favour: dict[str, float] = {}  # by controller: share of all jobs that are submitted to it
        self.hot: dict[str, float] = {}  # by offering: share of its jobs given to its first service

    async def run(self) -> None:
        """Submits jobs for the length of the day, then waits until each has ended for its owner."""
        self.ends_at = anyio.current_time() + self.day.length
        async with anyio.create_task_group() as links:
            for index, name in enumerate(self.addresses):
                links.start_soon(self.keep_link, name)
                if any(stream.sessions for stream in self.day.streams):
                    await links.start(self.keep_session, index)
            async with anyio.create_task_group() as jobs:
                for number, stream in enumerate(self.day.streams):
                    seed = self.day.seed * 1000 + 100 + number + 10007 * self.part
                    jobs.start_soon(self.generate, jobs, stream, Random(seed))
            links.cancel_scope.cancel()

    async def keep_link(self, name: str) -> None:
        """Keeps a link to one controller, and reconnects when it is lost."""
        while True:
            try:
                async with Client.connect(self.net, self.addresses[name], "owners", 2.0) as client:
                    self.links[name] = client
                    while not client.disconnect_reason:
                        await anyio.sleep(0.05)
            except ConnectionLostError:
                pass  # it is down: owners use the links to others meanwhile
            finally:
                self.links.pop(name, None)
            await anyio.sleep(0.1)

    async def keep_session(self, index: int, *, task_status) -> None:
        """Keeps a session open that connects to the controller of this index first."""
        contact = Contact(tuple(self.addresses.values()), f"owners-{index}")
        async with Owner.open(self.net, contact, timeout=10.0, first_controller=index) as owner:
            self.owners.append(owner)
            task_status.started()
            await anyio.sleep_forever()

    async def generate(self, jobs, stream: Stream, random: Random) -> None:
        """Starts the jobs of one stream as tasks of `jobs`, until the end of the day."""
        at = anyio.current_time()
        while True:
            at += random.expovariate(stream.rate * self.factor / self.parts)
            if at > self.ends_at:
                return
            await anyio.sleep_until(at)
            size = self.heavy.get(stream.offering, 1.0)
            service = random.randrange(stream.services)
            # the extra random number is drawn for these offerings only: other days keep their sequence
            if stream.offering in self.hot and random.random() < self.hot[stream.offering]:
                service = 0
            request = JobRequest(
                stream.offering,
                random.choice(stream.customers),
                f"{stream.offering}-{service}",
                round(random.uniform(*stream.cores) * size, 2),
                round(random.uniform(*stream.memory) * size, 2),
            )
            jobs.start_soon(
                self.run_job,
                self.submit_in_session if stream.sessions else self.submit,
                request,
                Random(random.random()),
                at,
            )

    async def run_job(self, submit, request: JobRequest, random: Random, due: float) -> None:
        """Runs `submit` and records the time to the answer.

        It counts from `due`, the time at which the job was to be submitted, so that it includes the
        generator's own delay.
        """
        await submit(request, random)
        self.tally.record_delay(request.offering, anyio.current_time() - due)

    async def submit_in_session(self, request: JobRequest, random: Random) -> None:
        """Submits a job in a session and waits for its answer, whatever happens to links and controllers."""
        self.tally.asked[request.offering] = self.tally.asked.get(request.offering, 0) + 1
        owner, expiry = (
            random.choice(self.owners),
            self.day.cluster.settings.offerings[request.offering].expiry,
        )
        end = "no answer"
        try:
            with anyio.move_on_after(expiry + 3 * ANSWER_TIMEOUT):
                key = await owner.submit(request, timeout=expiry)
                (status,) = await owner.wait_until([key], lambda status: status.answered)
                end = (
                    status.stage
                    if status.stage in ("rejected", "written off", "refused", "unknown")
                    else "placed"
                )
        except JobDeclinedError:
            end = "turned away"
        except TimeoutError:
            end = "no controller"
        self.tally.count(request.offering, end)

    def choose_controller(self, names: list[str], random: Random) -> str:
        """Draws the controller to which a job is submitted; favoured ones get their share."""
        for name, share in self.favour.items():
            if name in names and random.random() < share:
                return name
        return random.choice(names)

    async def submit(self, request: JobRequest, random: Random) -> None:
        """Submits a job over one of the links, and again where that is safe, until it has ended."""
        self.tally.asked[request.offering] = self.tally.asked.get(request.offering, 0) + 1
        offering = self.day.cluster.settings.offerings[request.offering]
        effect, expiry = offering.effect, offering.expiry
        end = "no controller"
        for _ in range(MAX_ATTEMPTS):
            names = sorted(self.links)
            if not names:
                await anyio.sleep(random.uniform(*RETRY_DELAY))
                continue
            client = self.links[self.choose_controller(names, random)]
            try:
                end = "no answer"
                # bounds the wait for a controller that never answers
                with anyio.move_on_after(expiry + ANSWER_TIMEOUT):
                    end = (await client.submit(request)).verdict
            except JobDeclinedError as error:
                end = "turned away"
                await anyio.sleep(max(error.retry_after, random.uniform(*RETRY_DELAY)))
                continue
            except ConnectionLostError as error:
                end = "lost with its controller"
                if error.may_have_run and effect is not Effect.REDOABLE:
                    break  # it may have run
                continue
            if end != "rejected" or anyio.current_time() > self.ends_at:
                break
            await anyio.sleep(random.uniform(*RETRY_DELAY))
        self.tally.count(request.offering, end)
