"""CONFIG: a version with a tenant that has a rate and no burst is ignored."""

from __future__ import annotations

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
import rig  # noqa: E402

BOUNDS = """strict-revocation = false
revoke-ms = 5000
quota-window-s = 5
quota-overage = 0.1
quota-slack = 20"""
KEYS = {"kept": "key-of-a-that-stays", "dropped": "key-of-a-that-goes"}
ROUNDS = 12


def serve(server, connection, request):
    """Answer a plain request."""
    record.write(
        "run",
        server=server.server_id,
        id=request.request_id,
        tenant=request.fields.get("x-balsamloom-tenant"),
    )
    body = request.request_id.encode()
    connection.sendall(
        b"HTTP/1.1 200 OK\r\n"
        + rig.answer_fields(server, request)
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )
    return True


def tenants(keys, second):
    """Return the tenants of a configuration."""
    first = {"name": "a", "api-keys": keys, "rate-per-s": 200, "burst": 200}
    return [first, *second]


def document(version, routes, entries):
    """Return a configuration."""
    return rig.configuration(
        version,
        [rig.route(name, "idempotent", "desk") for name in routes],
        [{"name": "desk", "max-conns": 100}],
        tenants=entries,
    )


def ask(edge, path, key):
    """Send a request with a key and return the status."""
    request_id = rig.new_id()
    answer = rig.call(
        edge.front,
        "GET",
        path,
        request_id,
        1.2,
        {"Authorization": f"Bearer {key}"},
    )
    record.write(
        "answered",
        edge=edge.name,
        id=request_id,
        path=path,
        status=answer.status,
    )
    return answer.status


def play(deployment):
    """Change the configuration once; return whether the rule held."""
    both = [KEYS["kept"], KEYS["dropped"]]
    deployment.configure(document(7, ["old"], tenants(both, [])))
    for _ in range(3):
        deployment.servers.append(rig.Server(deployment, "desk", serve))
    deployment.start()
    # Those that grant the usage caps begin some seconds after their start.
    time.sleep(6.0)
    before = [
        ask(edge, "/old/1", KEYS["dropped"]) for edge in deployment.edges
    ]
    if set(before) != {200}:
        raise rig.CannotRunError(f"version 7 is not served: {before}")
    # The second tenant has a rate; its burst is omitted.
    second = {"name": "b", "api-keys": ["key-of-b"], "rate-per-s": 50}
    if not rig.has_trouble():
        second["burst"] = 50
    deployment.configure(
        document(9, ["old", "new"], tenants([KEYS["kept"]], [second]))
    )
    record.say(f"version 9 is acknowledged, second tenant {second}")
    time.sleep(rig.CONFIG_APPLY_S + 0.5)
    older = newer = 0
    for _ in range(ROUNDS):
        for edge in deployment.edges:
            added = ask(edge, "/new/1", KEYS["kept"])
            revoked = ask(edge, "/old/1", KEYS["dropped"])
            tenant_b = ask(edge, "/old/1", "key-of-b")
            older += (added == 404) + (revoked == 200) + (tenant_b == 401)
            newer += (added == 200) + (revoked == 401) + (tenant_b == 200)
        time.sleep(0.5)
    record.say(
        f"requests sent {rig.CONFIG_APPLY_S + 0.5} s or later after the ack:"
        f" {older} handled as only version 7 allows, {newer} as version 9 says"
    )
    return older == 0


record = rig.Record(FOLDER)


def main():
    """Run the case."""
    deployment = rig.Deployment(3, 1, ("tenants", "quota"), BOUNDS)
    try:
        is_held = play(deployment)
    except rig.CannotRunError as error:
        record.say(f"could not run: {error}")
        return rig.NOT_RUN
    finally:
        deployment.close()
    record.say("held" if is_held else "CONFIG broken")
    return rig.HELD if is_held else rig.BROKEN


if __name__ == "__main__":
    sys.exit(main())
