"""Streams that consumers take up again while a second version comes.

The first server of another software version starts beside those that serve.
One edge process is killed a moment after it has begun to run streams.
"""

from __future__ import annotations

import random
import threading
import time
from typing import NamedTuple

import rig as rigs

EDGES = 6
STORAGES = 3
STREAMS = 720
EVENTS = 8
EVENT_INTERVAL_S = 0.08
# Streams begin in this time, relative to that at which new servers register.
SPREAD_S = (-0.1, 0.7)
FIRST_RUN_TIMEOUT_S = 2.0
ROUTE = "chat"


class Stream:
    """A stream, and whose events its consumer got."""

    def __init__(self) -> None:
        self.versions: set[str] = set()
        self.count = 0
        # Whether the first request met an edge that was not killed.
        self.has_sound_edge = False
        self.has_begun = False
        self.is_resumed = False
        self.went_on = False
        self.is_whole = False


class Result(NamedTuple):
    """Streams of a run, in the words of the rules."""

    streams: int
    whole: int
    joined: int
    # Streams that were sent to sound edges, and those of them that began.
    new: int
    begun: int
    # Streams that were taken up again, and those of them that went on.
    resumed: int
    went_on: int

    @property
    def begun_share(self) -> float:
        """Return the share of new streams that began."""
        return self.begun / max(self.new, 1)

    @property
    def went_on_share(self) -> float:
        """Return the share of streams taken up again that went on."""
        return self.went_on / max(self.resumed, 1)

    def describe(self) -> str:
        """Return the result as a sentence."""
        return (
            f"{self.streams} streams, {self.whole} whole; of {self.new} new"
            f" ones at edges that live {self.begun} began; {self.resumed} were"
            f" taken up again, {self.went_on} of them went on; {self.joined}"
            " hold events of two versions"
        )


class Run:
    """One run.

    :param case: path of the case's script.
    :param kill_after_s: time from the first stream at a new server to the
        kill of the edge.
    :param tries: how often a consumer tries to take a stream up.
    """

    def __init__(self, case: str, kill_after_s: float, tries: int) -> None:
        self.rig = rigs.Rig(case, edges=EDGES, storages=STORAGES)
        self._kill_after_s = kill_after_s
        self._tries = tries
        self._dead: set[str] = set()
        self._base_s = 0.0
        self._streams = [Stream() for _ in range(STREAMS)]

    def play(self) -> Result:
        """Play the streams and return what their consumers saw."""
        rig = self.rig
        routes = [rigs.route(ROUTE, "streaming", "engines", resumable=True)]
        rig.configure(routes, [rigs.engine_service("engines")])
        for zone in rigs.ZONES:
            rig.add_server(self._engine("1", zone))
        rig.start()
        rig.wait_members(EDGES)
        self._warm_up()
        time.sleep(2.0)
        self._base_s = time.monotonic() + 0.5
        threads = [
            threading.Thread(target=self._consume, args=(stream,))
            for stream in self._streams
        ]
        for thread in threads:
            thread.start()
        time.sleep(max(self._base_s - time.monotonic(), 0.0))
        rig.add_server(self._engine("2", rigs.ZONES[0]))
        rig.record.add("a server of version 2 has registered")
        if rigs.has_trouble():
            self._kill_edge()
        for thread in threads:
            thread.join()
        return self._result()

    def _kill_edge(self) -> None:
        self._wait_for_run(self.rig.servers[len(rigs.ZONES) :])
        time.sleep(self._kill_after_s)
        victim = self.rig.edges[0]
        self._dead.add(victim.address)
        victim.kill()
        self.rig.record.add(f"{victim.name} is killed")

    def _wait_for_run(self, servers: list[rigs.Engine]) -> None:
        """Wait until one of the servers has begun to run a request."""
        end_s = time.monotonic() + FIRST_RUN_TIMEOUT_S
        while not any(server.runs for server in servers):
            if time.monotonic() > end_s:
                return
            time.sleep(0.002)

    def _result(self) -> Result:
        streams = self._streams
        new = [stream for stream in streams if stream.has_sound_edge]
        resumed = [stream for stream in streams if stream.is_resumed]
        return Result(
            len(streams),
            sum(stream.is_whole for stream in streams),
            sum(len(stream.versions) > 1 for stream in streams),
            len(new),
            sum(stream.has_begun for stream in new),
            len(resumed),
            sum(stream.went_on for stream in resumed),
        )

    def _engine(self, version: str, zone: str) -> rigs.Engine:
        return rigs.Engine(
            self.rig,
            "engines",
            version,
            zone,
            events=EVENTS,
            interval_s=EVENT_INTERVAL_S,
        )

    def _consume(self, stream: Stream) -> None:
        """Read a stream; if its channel breaks, take it up elsewhere."""
        start_s = self._base_s + random.uniform(*SPREAD_S)
        time.sleep(max(start_s - time.monotonic(), 0.0))
        edge = random.choice(self._live_edges(None))
        first_id = rigs.new_id()
        answer = rigs.ask(edge.address, f"/{ROUTE}/t", _fields(first_id))
        self._add(stream, first_id, edge, answer)
        stream.has_begun = stream.count > 0
        stream.has_sound_edge = edge.address not in self._dead
        if answer.is_whole or not stream.count:
            return
        stream.is_resumed = True
        for _ in range(self._tries):
            edge = random.choice(self._live_edges(edge))
            answer = self._take_up(stream, first_id, edge)
            if answer.status != 503:
                return
            time.sleep(min(float(answer.fields.get("retry-after", 0)), 1.0))

    def _take_up(
        self, stream: Stream, first_id: str, edge: rigs.Process
    ) -> rigs.Answer:
        request_id = rigs.new_id()
        fields = _fields(request_id) | {
            "Last-Event-Id": str(stream.count),
            "Resumes": first_id,
        }
        before = stream.count
        answer = rigs.ask(edge.address, f"/{ROUTE}/t", fields)
        self.rig.record.add(f"request {request_id} takes up {first_id}")
        self._add(stream, request_id, edge, answer)
        stream.went_on = stream.count > before
        return answer

    def _live_edges(self, but: rigs.Process | None) -> list[rigs.Process]:
        return [
            edge
            for edge in self.rig.edges
            if edge is not but and edge.address not in self._dead
        ]

    def _add(
        self,
        stream: Stream,
        request_id: str,
        edge: rigs.Process,
        answer: rigs.Answer,
    ) -> None:
        found = answer.event_data() if answer.status == 200 else []
        for data in found:
            stream.versions.add(data.split(" ")[1])
        stream.count += len(found)
        stream.is_whole = answer.is_whole and answer.status == 200
        self.rig.record.add(
            f"request {request_id} at {edge.name}: {answer.status},"
            f" {len(found)} events, whole {answer.is_whole}, versions of the"
            f" stream {sorted(stream.versions)}"
        )

    def _warm_up(self) -> None:
        """Send a few streams through each edge."""
        threads = []
        for edge in self.rig.edges * 3:
            fields = _fields(rigs.new_id())
            threads.append(
                threading.Thread(
                    target=rigs.ask, args=(edge.address, f"/{ROUTE}/t", fields)
                )
            )
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


def _fields(request_id: str) -> dict[str, str]:
    return {
        "X-Balsamloom-Request-Id": request_id,
        "X-Balsamloom-Token-Usage": "300,480",
        "X-Balsamloom-Prompt-Prefix": f"00aa:200,{request_id}:100",
    }
