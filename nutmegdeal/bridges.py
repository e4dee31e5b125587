"""Runs an asyncio event loop, which grpclib needs, in a gevent process.

The asyncio loop runs inside one greenlet, so that no locks are needed. Coroutines must
not call anything that may switch greenlets.
"""

import abc
import asyncio

import gevent
import gevent.event
from gevent.selectors import GeventSelector


class Bridge(abc.ABC):
    """An asyncio event loop that gevent code can use.

    Attributes
    ----------
    loop : asyncio.AbstractEventLoop
    """

    loop: asyncio.AbstractEventLoop

    @abc.abstractmethod
    def call_in_loop(self, function, *arguments):
        """Schedule a function to run inside the asyncio loop."""

    @abc.abstractmethod
    def call_in_gevent(self, function, *arguments):
        """Run a non-blocking function where gevent's primitives may be used."""

    def run(self, coroutine, timeout_ms):
        """Run a coroutine, wait for it and return its result.

        Raises
        ------
        gevent.Timeout
            If it takes longer than `timeout_ms`; the coroutine is then cancelled.
        """
        outcome = gevent.event.AsyncResult()
        tasks = []

        def start():
            task = self.loop.create_task(coroutine)
            tasks.append(task)
            task.add_done_callback(finish)

        def finish(task):
            if task.cancelled():
                return
            if task.exception() is None:
                self.call_in_gevent(outcome.set, task.result())
            else:
                self.call_in_gevent(outcome.set_exception, task.exception())

        self.call_in_loop(start)
        try:
            return outcome.get(timeout=timeout_ms / 1000)
        except gevent.Timeout:
            for task in tasks:
                self.call_in_loop(task.cancel)
            raise


class GreenletBridge(Bridge):
    """Runs the asyncio loop in one greenlet; its selector waits in gevent's loop."""

    def __init__(self):
        self.loop = asyncio.SelectorEventLoop(GeventSelector())
        self._greenlet = gevent.spawn(self.loop.run_forever)

    def call_in_loop(self, function, *arguments):
        """Schedule a function to run inside the asyncio loop."""
        self.loop.call_soon_threadsafe(function, *arguments)

    def call_in_gevent(self, function, *arguments):
        """Call the function immediately, since both loops run in the same thread."""
        function(*arguments)
