"""The bridge between gevent and asyncio, which grpclib needs.

The asyncio loop runs inside one greenlet, so that no lock is needed. Nothing that may
switch greenlets is called from a coroutine.
"""

import abc
import asyncio

import gevent
import gevent.event
from gevent.selectors import GeventSelector


class Bridge(abc.ABC):
    """An asyncio loop beside gevent's."""

    loop: asyncio.AbstractEventLoop

    @abc.abstractmethod
    def call_in_loop(self, function, *arguments):
        """Run a function soon inside the asyncio loop."""

    @abc.abstractmethod
    def call_in_gevent(self, function, *arguments):
        """Run a function that never blocks where gevent's primitives may be used."""

    def run(self, coroutine, within_ms):
        """Run a coroutine and return its result.

        Raises
        ------
        gevent.Timeout
            If it takes longer than `within_ms`; the coroutine is cancelled.
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
            return outcome.get(timeout=within_ms / 1000)
        except gevent.Timeout:
            for task in tasks:
                self.call_in_loop(task.cancel)
            raise


class GreenletBridge(Bridge):
    """An asyncio loop inside one greenlet; its selector waits in gevent's loop."""

    def __init__(self):
        self.loop = asyncio.SelectorEventLoop(GeventSelector())
        self._greenlet = gevent.spawn(self.loop.run_forever)

    def call_in_loop(self, function, *arguments):
        """Run a function soon inside the asyncio loop."""
        self.loop.call_soon_threadsafe(function, *arguments)

    def call_in_gevent(self, function, *arguments):
        """Call the function at once: both loops share one thread."""
        function(*arguments)
