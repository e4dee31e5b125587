"""An agent restarts a controller that has raised an exception."""

import gevent
from gevent.event import Event

from nutmegdeal.agent import process


def test_controller_runs_again_after_a_fault(monkeypatch):
    monkeypatch.setattr(process, "RESTART_PAUSE_S", 0.0)
    runs = []
    has_recovered = Event()

    def loop():
        runs.append(len(runs))
        if len(runs) == 1:
            raise AttributeError("a fault in the controller")
        has_recovered.set()
        gevent.sleep(10)

    greenlet = gevent.spawn(process.keep_running, loop)
    assert has_recovered.wait(10)
    greenlet.kill()
    assert runs == [0, 1]
