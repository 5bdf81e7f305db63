"""What clients and hosts can make a controller hold: bytes received, lines, set-ups, answers."""

import json
import socket
import tracemalloc
from pathlib import Path

import anyio
import pytest

from linedeal.net import TcpNet
from linedeal.net.tcp import RECEIVE_BUFFER_BYTES, pause_reading
from linedeal.platform import ownerlink, withdrawn
from linedeal.platform.close_reason import CloseReason
from linedeal.platform.host_codec import Type
from linedeal.platform.line_queue import LineQueue
from linedeal.platform.log import Log
from linedeal.platform.owner_codec import LINE_MEMORY_BYTES, Line, memory_bytes
from linedeal.platform.request_budget import CONNECTION_SHARE, MEMORY_SHARE, RequestBudget
from tests.platform_fixture import Bus, Host, OwnerClient, platform_cluster, setup_line
from tests.platform_processes import Processes
from tests.test_terms import bus_entry

pytestmark = pytest.mark.anyio
MEMORY_MB = 192  # the limit of the deployments
PEAK_MB = MEMORY_MB / 2  # that a process may reach, whatever its clients do
SEND_BUFFER_BYTES = 32768  # of the peer in these tests
# The receiver's buffer, which the system doubles, as much that the process has taken, twice as much to spare,
# and the sender's own.
BOUND = 8 * RECEIVE_BUFFER_BYTES + 4 * SEND_BUFFER_BYTES


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


OFFERED_BYTES = 24 << 20
READ_FIRST_BYTES = 4 << 20  # at full speed, for which the system enlarges its buffers if it may


async def count_accepted_bytes(sock):
    """How many bytes a peer can write until nothing more is accepted for 0.2 s."""
    written, data = 0, bytes(65536)
    while written < OFFERED_BYTES:
        with anyio.move_on_after(0.2) as timeout:
            await anyio.wait_writable(sock)
        if timeout.cancelled_caught:
            break
        written += sock.send(data)
    return written


def limit_send_buffer(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    sock.setblocking(False)


def connected_socket(address):
    sock = socket.create_connection(address)
    limit_send_buffer(sock)
    return sock


async def read_then_sleep(stream, begins_with):
    received = 0
    while received < begins_with:
        received += len(await stream.receive())
    await anyio.sleep_forever()


@pytest.mark.parametrize("begins_with", [1, READ_FIRST_BYTES])
async def test_client_that_is_not_read_fills_a_bounded_buffer(begins_with):
    # Guards against clients that fill the memory: until a reader had caught up with its client for the first
    # time, the event loop collected whatever the client sent; later, megabytes in one iteration.
    async def handle(stream):
        await read_then_sleep(stream, begins_with)

    async with anyio.create_task_group() as tasks:
        address = await tasks.start(TcpNet().serve, ("127.0.0.1", 0), handle)
        with connected_socket(address) as sock:
            written = await count_accepted_bytes(sock)
        tasks.cancel_scope.cancel()
    assert written <= begins_with + BOUND, f"{written - begins_with} bytes, at most {BOUND}"


async def test_a_stream_whose_reading_cannot_be_paused_is_refused():
    # Guards against a version of anyio that keeps the transport elsewhere: the bound above would not hold.
    with pytest.raises(RuntimeError, match="reading ahead cannot be stopped"):
        pause_reading(object())


async def test_host_that_is_not_read_fills_a_bounded_buffer():
    # As above, at the other end of a connection.
    async with anyio.create_task_group() as tasks:
        with socket.create_server(("127.0.0.1", 0)) as server:
            stream = await TcpNet().connect(server.getsockname())
            sock, _ = server.accept()
        limit_send_buffer(sock)
        tasks.start_soon(read_then_sleep, stream, READ_FIRST_BYTES)
        with sock:
            written = await count_accepted_bytes(sock)
        tasks.cancel_scope.cancel()
    assert written <= READ_FIRST_BYTES + BOUND, f"{written - READ_FIRST_BYTES} bytes, at most {BOUND}"


@pytest.fixture
def log():
    return Log()


def release_line(task):
    return json.dumps({"type": "release", "id": task, "cause": 16}).encode() + b"\n"


def peak_mb(pid):
    """The most memory that a process has had resident, in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


def test_budget_leaves_room_for_the_connections_that_use_least():
    budget = RequestBudget(MEMORY_SHARE * 8000)
    share = 8000 // CONNECTION_SHARE
    assert budget.admits(1, share) and not budget.admits(1, share + 1)
    for connection in (1, 2, 3):
        budget.add(connection, share)
    assert not budget.admits(1, 1)
    budget.add(4, 1700)
    assert not budget.admits(4, 100) and budget.admits(5, 100) and not budget.admits(5, 301)
    for connection, size in ((1, share), (2, share), (3, share), (4, 1700)):
        budget.add(connection, -size)
    assert budget.used == 0 and not budget.shares.of


def test_queue_counts_each_line_until_it_leaves():
    budget = RequestBudget(0)
    queue, size = LineQueue(1, budget), memory_bytes(Line("setup", "a", sdp="d"))
    for task in ("a", "b", "a", "c"):
        queue.append(Line("setup", task, sdp="d"), 1.0)
    assert budget.used == 4 * size > 4 * LINE_MEMORY_BYTES
    assert queue.remove_job_requests("a") and not queue.remove_job_requests("x")
    assert len(queue) == 2 and budget.used == 2 * size and not queue.requests_job("a")
    assert not LineQueue(2, budget).remove_all_job_requests()  # of a connection that holds nothing
    assert queue.popleft().line.id == "b" and not queue.requests_job("b") and queue.requests_job("c")
    assert [queued.line.id for queued in queue.drain()] == ["c"] and budget.used == 0
    queue.append(Line("setup", "d", {"extras": "service:s;at:h1"}), 1.0)
    assert queue.hands_over("d") and not queue.requests_job("d") and not queue.remove_job_requests("d")
    assert [line.id for line in queue.remove_all_job_requests()] == [] and len(queue) == 1
    queue.popleft()
    assert not queue.hands_over("d") and not queue.hand_overs and budget.used == 0


async def test_memory_is_bounded_whatever_fields_the_lines_of_many_clients_have(tmp_path):
    # Guards against keeping all that a line names: lines of a thousand short fields, of a hundred clients at
    # once, took the process over its limit.
    clients, lines = 100, 60
    fields = [(f"{number:x}", "1") for number in range(1500)]
    # Built before any is sent: that takes a second or two, in which a line half sent would not go on.
    requests = [
        b"".join(setup_line(f"{number * lines + line:016x}", fields) for line in range(lines))
        for number in range(clients)
    ]
    hosts = {f"h{number}": Host() for number in range(4)}
    async with anyio.create_task_group() as tasks:
        bus = Bus()
        await tasks.start(bus.run)
        for host in hosts.values():
            await tasks.start(host.run)
        bus.publish(*(bus_entry(name, host) for name, host in hosts.items()), full=True)
        processes = Processes(tasks, tmp_path)
        process = await processes.start("n0", bus.address, bus.known(), sockets=1024, memory_mb=MEMORY_MB)
        await process.connect()

        async def send_all(data):
            stream = await TcpNet().connect(process.address)
            client = OwnerClient(stream)
            tasks.start_soon(client.read)
            await stream.send(data)
            with anyio.move_on_after(7):
                await client.closed.wait()

        async with anyio.create_task_group() as senders:
            for data in requests:
                senders.start_soon(send_all, data)
        usual = await processes.client(process)
        await usual.setup("f" * 16, left="2000")
        with anyio.fail_after(2.5):  # placed, or refused since the hosts are full
            while not usual.received:
                await usual.arrival.wait()
        peak = peak_mb(process.child.pid)
        await processes.end()
        tasks.cancel_scope.cancel()
    assert peak <= PEAK_MB, f"{peak:.0f} MB"


async def test_set_ups_beyond_a_connections_share_are_refused_as_they_are_read(tmp_path, log):
    # Guards against holding, without a bound in bytes, what one client has sent ahead; and against reading no
    # further once that bound is reached, as a cancellation may be behind it.
    async with platform_cluster(tmp_path, log, {"h1": Host(), "h2": Host()}) as g:
        budget = g.service.owners.budget
        usual, greedy = await g.client(), await g.client()
        tasks = [f"{number:016x}" for number in range(3000)]
        await greedy.stream.send(b"".join(setup_line(task, sdp="x" * 4000) for task in tasks))
        await usual.setup("f" * 16, cores=0.1)
        await usual.wait_for("answer", "f" * 16)
        await g.wait_until(8, lambda: len({line[1] for line in greedy.received}) == len(tasks))
        answers = [line[0] for line in greedy.received]
        assert len(answers) == len(tasks) and not greedy.closed.is_set()
        assert g.service.owners.counts["no room"] > 0 and answers.count("answer") > 0
        assert budget.used == 0 and not budget.shares.of


async def test_taking_back_counts_behind_more_set_ups_than_a_connection_may_have(tmp_path, log):
    # Guards against launches for set-ups that were taken back in the same breath.
    async with platform_cluster(tmp_path, log, {"h1": Host()}) as g:
        client = await g.client()
        tasks = [f"{number:016x}" for number in range(3000)]
        data = b"".join(setup_line(task, sdp="x" * 4000) for task in tasks)
        await client.stream.send(data + b"".join(map(release_line, tasks)))
        await client.setup("f" * 16, cores=0.1)
        await client.wait_for("answer", "f" * 16, 10)
        await g.wait_until(5, lambda: list(g.service.router.tasks) == ["f" * 16])
        assert not client.closed.is_set() and len(g.hosts["h1"].received(Type.SETUP)) < len(tasks) / 2


async def test_memory_of_lines_read_ahead_is_bounded(tmp_path, log, monkeypatch):
    # Guards against a bound on the number of lines alone: a line of a thousand short fields that nobody needs
    # is an object of over 100 KB once it is decoded.
    async with platform_cluster(tmp_path, log, {"h1": Host()}) as g:
        monkeypatch.setattr(g.service.inbox, "wait_for_space", anyio.sleep_forever)  # a long step
        fields = [(f"{number:x}", f"{number}") for number in range(1000)]
        client = await g.client()
        tracemalloc.start()
        try:
            for number in range(500):
                with anyio.move_on_after(0.5) as timeout:
                    await client.stream.send(setup_line(f"{number:016x}", fields))
                if timeout.cancelled_caught:
                    break
            await anyio.sleep(0.2)
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    bound = (64 << 20) / MEMORY_SHARE  # the process may use 64 MB
    assert held <= bound, f"{held / 2**20:.1f} MB, at most {bound / 2**20:.1f} MB"


def send_at_once(address, data):
    """Sends `data` and closes the connection, before anything of it is read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * len(data))
    sock.connect(address)
    sock.sendall(data)
    sock.close()


async def test_nothing_is_launched_for_a_client_that_closed_behind_many_set_ups(tmp_path, log):
    # Guards against launches for set-ups whose client has left: the close was read only after all of them had
    # been handled.
    async with platform_cluster(tmp_path, log, {"h1": Host()}) as g:
        send_at_once(g.address, b"".join(setup_line(f"{number:016x}") for number in range(1500)))
        await g.wait_until(5, lambda: g.service.owners.counts["connections"] == 1)
        await g.wait_until(5, lambda: not g.service.owners.links)
        await anyio.sleep(0.2)
        assert not g.hosts["h1"].received(Type.SETUP) and g.service.engine.counts["taken"] == 0
        assert g.service.owners.budget.used == 0


async def test_client_that_sends_without_a_pause_is_refused(tmp_path, log, monkeypatch):
    # Guards against set-ups that wait without an answer for as long as their client sends more.
    monkeypatch.setattr(ownerlink, "MAX_BACKLOG_TIME", 0.1)
    async with platform_cluster(tmp_path, log, {"h1": Host()}) as g:
        client, last = await g.client(), 0
        with anyio.move_on_after(1.0):
            while True:
                await client.stream.send(
                    b"".join(setup_line(f"{last + number:016x}") for number in range(200))
                )
                last += 200
        await g.wait_until(
            8, lambda: {f"{number:016x}" for number in range(last)} <= {line[1] for line in client.received}
        )
        ids = [line[1] for line in client.received]
        assert len(ids) == len(set(ids)) == last and not client.closed.is_set()
        assert g.service.owners.counts["no room"] > 0


def test_withdrawn_ids_are_remembered_for_a_time_and_up_to_a_number(monkeypatch):
    monkeypatch.setattr(withdrawn, "MAX_REMEMBERED", 3)
    now = 0.0
    known = withdrawn.WithdrawnTasks(lambda: now)
    for task in ("a", "b", "c"):
        known.add(task)
    known.add("a")  # again: now the newest
    known.add("d")
    assert "b" not in known and all(task in known for task in ("a", "c", "d"))
    now = withdrawn.RETENTION + 1
    assert "d" not in known
    known.add("e")
    assert list(known.withdrawn_at) == ["e"]


async def test_answers_that_all_clients_together_leave_unread_are_bounded(tmp_path, log, monkeypatch):
    # Guards against many clients that read nothing, each within its own bound.
    monkeypatch.setattr(ownerlink, "MAX_TOTAL_UNREAD_BYTES", 100_000)
    async with platform_cluster(tmp_path, log, {"h1": Host()}) as g:
        owners = g.service.owners
        silent = [await TcpNet().connect(g.address) for _ in range(8)]
        usual = await g.client()
        await usual.setup("f" * 16, cores=0.1)
        await usual.wait_for("answer", "f" * 16)
        await g.wait_until(2, lambda: len(owners.links) == 9)
        links = list(owners.links.values())
        monkeypatch.setattr(type(links[0].link), "send", never_sends)
        for link in links[:8]:
            for _ in range(20):
                owners.enqueue(link, bytes(1000))
                assert owners.unread <= ownerlink.MAX_TOTAL_UNREAD_BYTES
        assert sum(link.number in owners.links for link in links[:8]) < 8
        assert links[8].number in owners.links
        for link in links:
            owners.disconnect(link, CloseReason.SHUTDOWN)
            owners.enqueue(link, bytes(1000))
        assert owners.unread == 0
        for stream in silent:
            await stream.aclose()


async def never_sends(link, data, timeout):
    await anyio.sleep_forever()


async def test_nothing_is_taken_of_a_connection_that_was_closed_as_its_lines_were_read(
    tmp_path, log, monkeypatch
):
    # Guards against jobs, and bytes of the budget, that no connection will ever give back.
    monkeypatch.setattr(ownerlink, "MAX_UNREAD_BYTES", 2000)
    async with platform_cluster(tmp_path, log, {"h1": Host()}) as g:
        owners = g.service.owners
        monkeypatch.setattr(owners.budget, "total", 80_000)
        send_at_once(g.address, b"".join(setup_line(f"{number:016x}") for number in range(150)))
        await g.wait_until(5, lambda: owners.counts["connections"] == 1)
        await g.wait_until(5, lambda: not owners.links)
        await anyio.sleep(0.2)
        assert owners.counts["no room"] > 0
        assert owners.budget.used == 0 and not owners.budget.shares.of and not g.service.router.tasks


async def test_handing_over_jobs_that_no_host_holds_leaves_room_for_others(tmp_path, log):
    # Guards against clients that make up running jobs: hosts count as full with jobs that nobody ever ends.
    async with platform_cluster(tmp_path, log) as g:
        bad, usual = await g.client(), await g.client()
        for number in range(400):
            await bad.setup(f"{number:016x}", at=("h1", "h2")[number % 2], left="4294967")
        await g.wait_until(5, lambda: g.service.engine.counts["handed over"] == 400)
        await usual.setup("f" * 16)
        await usual.wait_for("answer", "f" * 16)
