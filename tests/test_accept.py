"""Accepting connections while the system's accept fails now and then."""

import errno
import os
import socket
import time

import anyio
import pytest

from linedeal.net import TcpNet

pytestmark = pytest.mark.anyio
CLIENTS = 40
SERVED_SECONDS = 0.5  # until clients that come at once are served, though every second accept fails


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def greet(stream):
    await stream.send(b"hello")
    await stream.aclose()


def fail_accepts(monkeypatch, error, fails):
    """Makes accept fail with an error of the system; `fails`: whether the call of that number does."""
    real_accept, calls = socket.socket.accept, iter(range(1, 1 << 30))

    def accept(self):
        if fails(next(calls)):
            raise OSError(error, os.strerror(error))
        return real_accept(self)

    monkeypatch.setattr(socket.socket, "accept", accept)
    return calls


@pytest.mark.parametrize("error", ["ECONNABORTED", "ENFILE", "ENOBUFS", "EPROTO", "ETIMEDOUT"])
async def test_clients_are_served_soon_though_every_second_accept_fails(monkeypatch, error):
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(TcpNet().serve, ("127.0.0.1", 0), greet)
        clients = [socket.create_connection(address) for _ in range(CLIENTS)]
        fail_accepts(monkeypatch, getattr(errno, error), lambda number: number % 2)
        began = time.monotonic()
        for client in clients:
            client.settimeout(5.0)
            assert await anyio.to_thread.run_sync(client.recv, 16) == b"hello"
            client.close()
        assert time.monotonic() - began <= SERVED_SECONDS
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("error", ["ECONNABORTED", "EMFILE"])
async def test_an_accept_that_always_fails_takes_up_little_of_the_loop(monkeypatch, error):
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(TcpNet().serve, ("127.0.0.1", 0), greet)
        calls = fail_accepts(monkeypatch, getattr(errno, error), lambda number: True)
        client = socket.create_connection(address)
        await anyio.sleep(1.0)
        assert 5 <= next(calls) <= 60
        monkeypatch.undo()
        client.settimeout(5.0)
        assert await anyio.to_thread.run_sync(client.recv, 16) == b"hello"
        client.close()
        tasks.cancel_scope.cancel()
