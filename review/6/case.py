"""ORDER: a stream is joined from servers of two software versions."""

from __future__ import annotations

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
import links  # noqa: E402
import rig  # noqa: E402

EVENTS = 40
GAP_S = 0.1
FIRST_EVENT_S = 0.25
STREAMS = 48
# The streams of both edges begin within this time.
SPREAD_S = 0.3
TIME_BUDGET_S = 5.0
CUT_S = 1.2
# Streams before the cut, so that the machine has open channels.
EARLIER_STREAMS = 12
# The rule allows two.
MOST_JOINED = 2


def serve(server, connection, request):
    """Stream the events after the caller's last one, with the version."""
    last = int(request.fields.get("last-event-id", 0))
    record.write(
        "run",
        server=server.server_id,
        version=server.version,
        id=request.request_id,
        after=last,
    )
    time.sleep(FIRST_EVENT_S)
    connection.sendall(
        b"HTTP/1.1 200 OK\r\n"
        + rig.answer_fields(server, request)
        + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for number in range(last + 1, EVENTS + 1):
        event = f"id: {number}\ndata: {server.version} {number}\n\n".encode()
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(GAP_S)
    connection.sendall(b"0\r\n\r\n")
    return True


class Stream(threading.Thread):
    """Consumer that takes its stream up again where the channel broke."""

    def __init__(self, first, second, delay_s):
        super().__init__(daemon=True)
        self._edges = [first, second]
        self._delay_s = delay_s
        # Number and version of each whole event, in the order of arrival.
        self.events = []
        self.statuses = []

    def run(self):
        """Send the request, and go on once on another edge if it broke."""
        time.sleep(self._delay_s)
        until_s = time.monotonic() + TIME_BUDGET_S
        begun_id = ""
        for edge in self._edges:
            left_s = until_s - time.monotonic()
            if left_s <= 0.1:
                return
            fields = {"X-Balsamloom-Token-Usage": "500,40"}
            if self.events:
                fields["Last-Event-Id"] = str(self.events[-1][0])
                fields["Resumes"] = begun_id
            request_id = rig.new_id()
            answer = rig.call(
                edge.front,
                "POST",
                "/chat/1",
                request_id,
                left_s,
                fields,
                b"hello",
            )
            found = parse(answer.body)
            if found and not self.events:
                begun_id = request_id
            self.events += found
            self.statuses.append(answer.status)
            record.write(
                "answered",
                edge=edge.name,
                id=request_id,
                status=answer.status,
                events=[f"{number}:{version}" for number, version in found],
                whole=answer.is_whole,
            )
            if answer.is_whole and answer.status == 200:
                return
            time.sleep(0.02)

    @property
    def versions(self):
        """Return the versions of the events."""
        return {version for _, version in self.events}


def parse(body):
    """Return number and version of each whole event."""
    found = []
    for event in body.decode().split("\n\n")[:-1]:
        number, data = event.split("\n")
        found.append((int(number[4:]), data[6:].split(" ")[0]))
    return found


def new_server(deployment, version):
    """Start a server of a version."""
    server = rig.Server(deployment, "models", serve, version, slots=24)
    deployment.servers.append(server)
    return server


def play(deployment, ways):
    """Replace servers of version v1 by v2; return how many are joined."""
    engine = {"slots": 24, "kv-capacity": 100000, "chunk-tokens": 1}
    deployment.configure(
        rig.configuration(
            7,
            [
                rig.route(
                    "chat",
                    "streaming",
                    "models",
                    resumable=True,
                    max_attempts=2,
                    timeout_ms=5000,
                )
            ],
            [{"name": "models", "max-conns": 200, "engine": engine}],
        )
    )
    leaving, _ = new_server(deployment, "v1"), new_server(deployment, "v1")
    deployment.start()
    time.sleep(2.0)
    # The release: new ones first.
    new_server(deployment, "v2")
    new_server(deployment, "v2")
    time.sleep(4.0)
    record.say("servers of v1 and v2 serve side by side")
    edge, *others = deployment.edges
    earlier = [
        Stream(edge, others[number % len(others)], 0.01 * number)
        for number in range(EARLIER_STREAMS)
    ]
    for stream in earlier:
        stream.start()
    for stream in earlier:
        stream.join(10)
    time.sleep(1.5)
    streams = [
        Stream(edge, others[number % len(others)], SPREAD_S * number / STREAMS)
        for number in range(STREAMS)
    ]
    if rig.has_trouble():
        for link in ways.values():
            link.cut(edge.process.pid)
        record.say(f"{edge.name} is cut off from the store machines")
    begun_s = time.monotonic()
    for stream in streams:
        stream.start()
    time.sleep(CUT_S)
    if rig.has_trouble():
        for link in ways.values():
            link.heal()
        record.say("the cut heals")
    # One server of v1 drains, and exits a little after drain-ms.
    leaving.state = "draining"
    leaving.register()
    time.sleep(max(begun_s + CUT_S + rig.DRAIN_S + 0.3 - time.monotonic(), 0))
    record.say(f"the drained server {leaving.server_id} of v1 exits")
    leaving.leave()
    for stream in streams:
        stream.join(10)
    joined = [stream for stream in streams if len(stream.versions) > 1]
    resumed = [one for one in streams if len(one.statuses) > 1]
    record.say(
        f"{len(streams)} streams, {len(resumed)} tried again,"
        f" {len(joined)} hold events of two versions"
    )
    for stream in joined:
        record.write("joined", events=stream.events)
    if not any(stream.events for stream in streams):
        raise rig.CannotRunError("no stream got an event")
    return len(joined)


record = rig.Record(FOLDER)


def main():
    """Run the case."""
    deployment = rig.Deployment(7, 3, ("agent", "engine"))
    ways = links.put_before(deployment)
    try:
        joined = play(deployment, ways)
    except rig.CannotRunError as error:
        record.say(f"could not run: {error}")
        return rig.NOT_RUN
    finally:
        deployment.close()
        for link in ways.values():
            link.close()
    is_held = joined <= MOST_JOINED
    record.say("held" if is_held else "ORDER broken")
    return rig.HELD if is_held else rig.BROKEN


if __name__ == "__main__":
    sys.exit(main())
