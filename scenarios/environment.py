"""Processes of the scenarios: started when needed, ended by their ids.

Scenarios of a feature share deployments. Each scenario finds them repaired;
after a failed one they are ended, so that no later scenario suffers from it.
"""

import itertools
import os

from balsamloom_standins import callers, deployments, fleet

SHAPES = {
    "Indus Restwell Services": deployments.RESTWELL,
    "Wasserreigen Allgäu-Franken": deployments.WASSERREIGEN,
}
DEFAULT_ENGINE = {"token_ms": 2, "slowdown": 1, "state": "serving"}
DEFAULT_TOOLS = {"mode": "none", "duration_ms": 5, "left": 0}

# Processes that hang write what each thread does when they are aborted.
os.environ["PYTHONFAULTHANDLER"] = "1"


class World:
    """Deployments that run at the moment, by the name of their user."""

    def __init__(self):
        self._running = {}
        self._numbers = itertools.count(100)

    def deployment(self, user):
        """Return a repaired deployment, started if there is none."""
        if user not in self._running:
            started = fleet.Fleet()
            try:
                shape = callers.small_shape(SHAPES[user])
                found = callers.start_deployment(started, shape)
            except BaseException:
                started.stop()
                raise
            self._running[user] = (started, found)
        _, found = self._running[user]
        self._repair(found)
        return found

    def replace(self, deployment):
        """Start an entry process in the place of one that has ended."""
        deployment.entries = deployment.live_entries()
        missing = deployment.shape.entry_count - len(deployment.entries)
        for _ in range(missing):
            deployment.add_entry(next(self._numbers))

    def end(self):
        """End all processes by their ids."""
        for started, _ in self._running.values():
            started.stop()
        self._running.clear()

    def _repair(self, deployment):
        for entry in deployment.live_entries():
            entry.resume()
            entry.request("POST", "/v1/faults", {})
        deployment.store.request("POST", "/faults", {})
        for engine in deployment.engines:
            engine.request("POST", "/control", DEFAULT_ENGINE)
        for tool in deployment.tools:
            tool.request("POST", "/control", DEFAULT_TOOLS)
        self.replace(deployment)
        deployment.wait_ready()


def before_all(context):
    context.world = World()


def after_scenario(context, scenario):
    if scenario.status.name != "passed":
        context.world.end()


def after_feature(context, feature):
    context.world.end()


def after_all(context):
    context.world.end()
