"""The process's only event loop, on one thread: eventlet on its asyncio hub.

`install` must run before any other module of the process uses eventlet, sockets or threads.
Green threads (WSGI, urllib3) and coroutines (grpclib, UDP) then share the loop. A green thread
waits for a coroutine with `run_coroutine`; a coroutine must never call code that blocks a green
thread.
"""

import asyncio
import os
from collections.abc import Coroutine
from typing import Any, TypeVar, cast

T = TypeVar("T")


def install() -> None:
    """Choose the asyncio hub and patch the standard library for green threads.

    eventlet's DNS resolver is left out, since all addresses are IP numbers: loading it would
    lengthen an entry's start, during which its callers lose their requests.
    """
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    import eventlet.hubs

    eventlet.hubs.use_hub("eventlet.hubs.asyncio")
    eventlet.monkey_patch()


def run_coroutine(coroutine: Coroutine[Any, Any, T]) -> T:
    """Wait in a green thread for a coroutine's result; its exception is raised here.

    The exception is passed as a value: if it were raised through eventlet's asyncio bridge, it
    would also be printed with its whole stack, for each operator's call to a keeper without a
    majority.
    """
    import eventlet.asyncio

    failures: list[Exception] = []

    async def capture() -> T | None:
        try:
            return await coroutine
        except Exception as error:
            failures.append(error)
            return None

    result: T | None = eventlet.asyncio.spawn_for_awaitable(capture()).wait()
    if failures:
        raise failures[0]
    return cast("T", result)


def start_coroutine(coroutine: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
    """Run a coroutine on the loop without waiting; keep the task to cancel it."""
    return asyncio.ensure_future(coroutine, loop=asyncio.get_event_loop())
