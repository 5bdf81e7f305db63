"""`python -m linedeal.platform`: one controller on the platform, told all it needs by EDGE_CONFIG."""

import os
import sys

import anyio

from linedeal.net import TcpNet
from linedeal.platform import config
from linedeal.platform.log import Log
from linedeal.platform.service import Service


def main() -> int:
    path = os.environ.get("EDGE_CONFIG")
    if not path:
        print("linedeal: EDGE_CONFIG names no file", file=sys.stderr)
        return 2
    try:
        setup = config.read(path)
    except config.ConfigFault as error:
        print(f"linedeal: {error}", file=sys.stderr)
        return 2
    service = Service(setup, path, TcpNet(), Log(bool(os.environ.get("LINEDEAL_DEBUG"))))
    ended = 0
    try:
        anyio.run(service.run, backend_options={"use_uvloop": True})
    except* OSError as group:
        error = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        print(f"linedeal: {error}", file=sys.stderr)
        ended = 1
    return ended


if __name__ == "__main__":
    sys.exit(main())
