"""`python -m linedeal.platform`: runs a controller on the platform, configured by the file in EDGE_CONFIG."""

import os
import sys

import anyio

from linedeal.net import TcpNet
from linedeal.platform import config
from linedeal.platform.log import Log
from linedeal.platform.service import Service


def main() -> int:
    """Runs the service. Returns the exit status: 0 stopped, 1 network error, 2 invalid configuration."""
    path = os.environ.get("EDGE_CONFIG")
    if not path:
        print("linedeal: EDGE_CONFIG names no file", file=sys.stderr)
        return 2
    try:
        setup = config.read(path)
    except config.ConfigError as error:
        print(f"linedeal: {error}", file=sys.stderr)
        return 2
    service = Service(setup, path, TcpNet(), Log(bool(os.environ.get("LINEDEAL_DEBUG"))))
    status = 0
    try:
        anyio.run(service.run, backend_options={"use_uvloop": True})
    except* OSError as group:
        error = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        print(f"linedeal: {error}", file=sys.stderr)
        status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
