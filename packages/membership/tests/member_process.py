"""Run a member that answers heartbeats until it is killed."""

import json
import sys
import threading

import builders

if __name__ == "__main__":
    member = builders.RunningMember(sys.argv[1])
    print(json.dumps({"address": member.server.address}), flush=True)
    threading.Event().wait(120)
