"""Cuts of the network between two processes, by the tap and by a simulated host: they hold on every link."""

import anyio
import pytest

from linedeal.duties.duty import owner_name
from linedeal.lab.record import Recorder
from linedeal.lab.tap import HELD_SECONDS, NetworkConditions, ProxiedLink
from linedeal.net.memory import pipe
from linedeal.protocol import encode, pb
from linedeal.standin.host import HostServer

pytestmark = pytest.mark.anyio

# The roles in which a controller has links, each with the name that it gives there.
LINKS = [
    (pb.CONTROLLER, "c1"),  # to a host
    (pb.CONTROLLER, owner_name("c1", 1)),  # to a council listener
    (pb.OWNER, owner_name("c1", 1)),  # the orders of a duty's owner
]


@pytest.mark.parametrize("role,name", LINKS)
async def test_a_cut_of_two_processes_holds_what_each_of_their_links_carries(role, name):
    recorder, network = Recorder(), NetworkConditions()
    client, client_side = pipe()
    server_side, server = pipe()
    hello, reply = encode(pb.Hello(version=1, role=role, name=name)), encode(pb.Welcome(version=1))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ProxiedLink(client_side, server_side, "h1", recorder, network).run)
        await client.send(hello)
        assert await server.receive() == hello
        network.cut([("c1", "h1"), ("h1", "c1")])
        await client.send(b"order")
        await server.send(reply)
        await anyio.wait_all_tasks_blocked()
        arrived_by = anyio.current_time()
        passed_on = [entry.d for entry in recorder.entries if entry.e == "data" and not entry.held]
        assert passed_on == [">"], "more than the hello was passed on"
        await anyio.sleep(2 * HELD_SECONDS)
        network.heal([("c1", "h1"), ("h1", "c1")])
        assert await server.receive() == b"order" and await client.receive() == reply
        assert 0 < recorder.entries[-1].arrived <= arrived_by < recorder.entries[-1].t
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("name", ["c1", owner_name("c1", 1)])
async def test_a_host_does_not_reach_a_process_from_which_it_is_partitioned(name):
    host = HostServer(None, None, None, "", "z", 1)
    host.partitioned = frozenset(["c1"])
    reached = []

    async def wait_until_reachable():
        await host.until_reachable(name)
        reached.append(name)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait_until_reachable)
        await anyio.wait_all_tasks_blocked()
        assert not reached
        host.partitioned = frozenset()
        host.partition_changed.set()
    assert reached == [name]
