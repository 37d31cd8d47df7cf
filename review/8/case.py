"""BUDGET: a request that crashes servers is never held back.

A request of another tenant with the same path and body, which is sound, clears
the record of the crashes each time that it is served.
"""

from __future__ import annotations

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
import rig  # noqa: E402

PATH = "/lookup/7"
KEYS = {"a": "key-of-tenant-a", "b": "key-of-tenant-b"}
SERVERS = 5
DOWN_S = 2.5
WORK_S = 0.02
# A program sends a request that failed again after a pause.
PAUSE_S = 1.0
LENGTH_S = 30.0
MAX_CRASHES = 3
MAX_RETRIES = 3


def serve(server, connection, request):
    """Answer; the request of tenant a crashes the server that runs it."""
    tenant = request.fields.get("x-balsamloom-tenant")
    if tenant == "a":
        reached.append((time.monotonic(), request.request_id))
        record.write("reached", server=server.server_id, id=request.request_id)
        if rig.has_trouble():
            crash(server)
            return False
    time.sleep(WORK_S)
    body = b"of " + str(tenant).encode()
    connection.sendall(
        b"HTTP/1.1 200 OK\r\n"
        + rig.answer_fields(server, request)
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )
    return True


def crash(server):
    """End a server, which is back with an empty memory and another id."""
    with lock:
        if not server.is_up:
            return
        crashes.append(time.monotonic())
        record.write("crashed", server=server.server_id, number=len(crashes))
        former = server.server_id
        server.end()
    threading.Timer(DOWN_S, server.start).start()
    threading.Timer(
        3 * rig.HEARTBEAT_S, deployment.store.delete, (f"servers/{former}",)
    ).start()


def send(edge, tenant):
    """Send a request of a tenant; return its identifier and the status."""
    request_id = rig.new_id()
    sent[request_id] = time.monotonic()
    fields = {"Authorization": f"Bearer {KEYS[tenant]}"}
    answer = rig.call(edge.front, "GET", PATH, request_id, 1.2, fields)
    statuses.append((tenant, answer.status))
    record.write(
        "answered",
        tenant=tenant,
        edge=edge.name,
        id=request_id,
        status=answer.status,
    )
    return answer.status


def keep_sending(number):
    """Send sound requests of tenant b until the end."""
    while not ended.is_set():
        send(deployment.edges[number % len(deployment.edges)], "b")
        number += 1
        time.sleep(0.1)


def play():
    """Send the request of tenant a again and again; return whether it held."""
    deployment.configure(
        rig.configuration(
            7,
            [
                rig.route(
                    "lookup",
                    "idempotent",
                    "desk",
                    max_attempts=2,
                    timeout_ms=1200,
                )
            ],
            [{"name": "desk", "max-conns": 100}],
            tenants=[
                {"name": name, "api-keys": [key]} for name, key in KEYS.items()
            ],
        )
    )
    for _ in range(SERVERS):
        deployment.servers.append(
            rig.Server(deployment, "desk", serve, slots=6)
        )
    deployment.start()
    time.sleep(2.0)
    threads = [
        threading.Thread(target=keep_sending, args=(number,), daemon=True)
        for number in range(len(deployment.edges))
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    until_s = time.monotonic() + LENGTH_S
    number = 0
    while time.monotonic() < until_s:
        send(deployment.edges[number % len(deployment.edges)], "a")
        number += 1
        time.sleep(PAUSE_S)
    ended.set()
    for thread in threads:
        thread.join(5)
    if ("b", 200) not in statuses:
        raise rig.CannotRunError("no sound request was served")
    if len(crashes) < MAX_CRASHES:
        record.say(f"{len(crashes)} crashes")
        return True
    from_s = crashes[MAX_CRASHES - 1] + rig.CONTACT_S
    late = {
        one for at_s, one in reached if sent[one] > from_s and at_s > from_s
    }
    record.say(
        f"{len(crashes)} crashes; {len(late)} retries reached servers that were"
        f" sent over {rig.CONTACT_S:.0f} s after the third crash; the rule allows"
        f" {MAX_RETRIES}"
    )
    served = statuses.count(("b", 200))
    record.say(
        f"tenant b: {served} served,"
        f" {sum(tenant == 'b' for tenant, _ in statuses) - served} not"
    )
    return len(late) <= MAX_RETRIES


record = rig.Record(FOLDER)
lock = threading.Lock()
crashes = []
reached = []
sent = {}
statuses = []
ended = threading.Event()
deployment = rig.Deployment(3, 1, ("tenants",))


def main():
    """Run the case."""
    try:
        is_held = play()
        time.sleep(DOWN_S + 1.5)
    except rig.CannotRunError as error:
        record.say(f"could not run: {error}")
        return rig.NOT_RUN
    finally:
        deployment.close()
    record.say("held" if is_held else "BUDGET broken")
    return rig.HELD if is_held else rig.BROKEN


if __name__ == "__main__":
    sys.exit(main())
