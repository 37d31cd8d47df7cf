"""A storage machine that lost its disk is killed again before it has its copies.

storage-2 is cut off for 12 s. storage-0 loses its disk, is back at once, and is
killed once more a moment later. Turns that were answered whole lie on the disk
of storage-2, so they must not be said not to exist.
"""

from __future__ import annotations

import concurrent.futures
import os
import pathlib
import sys
import time

import links
import rig
from balsamloom_testbed import faults, servers

TURNS = 48
CUT_S = 12.0
WIPED_S = 0.5
AGAIN_S = 0.3
RECOVER_S = 12.0
# "1": the whole case; "0": without the disruptions; "once": storage-0 isn't
# killed once more.
TROUBLE = os.environ.get("TROUBLE", "1")


def turn(case: rig.Rig, number: int, previous: str = "") -> tuple[str, rig.Answer]:
    """Send one turn of a program and return its id and answer."""
    request_id = rig.new_id()
    headers = {
        "X-Balsamloom-Request-Id": request_id,
        "X-Balsamloom-Program-Id": f"program-{number}",
        "X-Balsamloom-Session-Id": f"session-{number}",
        "X-Balsamloom-Token-Usage": "40,60",
        "X-Balsamloom-Prompt-Prefix": f"5c1e07a2:20,{request_id[:8]}:20",
    }
    if previous:
        headers["X-Balsamloom-Previous-Turn"] = previous
    edge = case.edges[number % len(case.edges)]
    body = f"input of {request_id}\n".encode()
    answer = rig.send(edge.front, "POST", "/chat/a", headers, body)
    case.note(f"{edge.name} turn {request_id} after {previous or '-'}: {answer}")
    return request_id, answer


def first_turns(case: rig.Rig) -> dict[int, str]:
    """Return the turns that were answered whole, by program."""
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        found = list(pool.map(lambda n: turn(case, n), range(TURNS)))
    return {
        number: request_id
        for number, (request_id, answer) in enumerate(found)
        if answer.status == 200 and answer.whole and answer.signed
    }


def disrupt(case: rig.Rig, cut: links.Links) -> float:
    """Cut one machine off and lose the disk of another one.

    :return: when the cut ends.
    """
    wiped, _, away = case.storages
    away.store_proxy.fault = faults.Fault.RESET
    cut.set_cut({away.name}, frozenset({away.name}))
    end_s = case.now() + CUT_S
    case.note(f"{away.name} is cut off")
    # Consumers go on meanwhile.
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        list(pool.map(lambda n: turn(case, TURNS + n), range(24)))
    wiped.kill()
    wiped.wipe()
    case.note(f"{wiped.name} loses its disk")
    time.sleep(WIPED_S)
    wiped.start()
    case.await_true(wiped.is_ready, 10.0, "storage-0 is back")
    case.note(f"{wiped.name} is back")
    if TROUBLE != "once":
        wiped.kill()
        case.note(f"{wiped.name} is killed once more")
        time.sleep(AGAIN_S)
        wiped.start()
        case.await_true(wiped.is_ready, 10.0, "storage-0 is back again")
        case.note(f"{wiped.name} is back again")
    return end_s


def main() -> int:
    """Run the case and return its exit status."""
    case = rig.Rig(pathlib.Path(__file__).parent, store_class=links.LinkedStore)
    cut = links.Links(
        lambda: {r.name: r.process.pid for r in case.storages if r.process}
    )
    case.store.links = cut
    try:
        for seed in range(4):
            engine = servers.ServerStandin("engines", True, case.server_log, seed)
            case.add_server(engine)
        chat = rig.route("chat", "streaming", "engines", stateful=True)
        case.start(rig.configuration([chat]))
        answered_s = case.now()
        known = first_turns(case)
        if len(known) < TURNS // 2:
            raise rig.CaseError("too few turns were answered whole")
        time.sleep(3.0)
        cut_end_s = case.now()
        if TROUBLE != "0":
            cut_end_s = disrupt(case, cut)
        denied: set[str] = set()
        served: set[str] = set()
        is_cut = True
        while case.now() < cut_end_s + RECOVER_S and len(served) < len(known):
            if is_cut and case.now() >= cut_end_s:
                is_cut = False
                cut.set_cut(set())
                case.storages[2].store_proxy.fault = faults.Fault.NONE
                case.note("all are reached again")
            for number, request_id in known.items():
                if request_id in served or (is_cut and case.now() >= cut_end_s):
                    continue
                _, answer = turn(case, number, request_id)
                age_s = case.now() - answered_s
                if answer.status in (404, 410) and age_s < 60.0:
                    denied.add(request_id)
                    case.note(f"LOST: turn {request_id}, at most {age_s:.1f} s old")
                elif answer.status == 200:
                    served.add(request_id)
            time.sleep(0.3)
        case.note(
            f"{len(known)} whole turns, {len(served)} continued in the end, "
            f"{len(denied)} answered 404 or 410 before"
        )
        case.note("broken" if denied else "held")
        return 1 if denied else 0
    except rig.CaseError as error:
        case.note(f"could not run: {error}")
        return 2
    finally:
        cut.close()
        case.close()


if __name__ == "__main__":
    sys.exit(main())
