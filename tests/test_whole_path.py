"""One program served end to end by separate processes."""

import json
import time
import unittest

import sseclient
import urllib3

from balsamloom_standins import fleet

TAKEOVER_TIMEOUT_S = 10


class WholePathTest(unittest.TestCase):
    """Guards against losing a program's history with its entry process."""

    def setUp(self):
        self.fleet = fleet.Fleet()
        self.addCleanup(self.fleet.stop)
        self.http = urllib3.PoolManager(retries=False)
        store = self.fleet.standin("store")
        engine = self.fleet.standin("engine")
        self.tools = self.fleet.standin("tools")
        self.entries = {}
        for name, domain in (("e1", "a"), ("e2", "b"), ("e3", "b")):
            running = self.fleet.entry(
                name,
                {
                    "failure_domain": domain,
                    "store_address": store.address,
                    "engines": [engine.address],
                    "tools": {"booking": self.tools.address},
                },
            )
            self.entries[running.address] = running

    def post(self, address, path, body, program_id="", key=""):
        return self.http.request(
            "POST",
            f"http://{address}{path}",
            json=body,
            headers={"X-Program-Id": program_id, "Idempotency-Key": key},
        )

    def chat(self, address, program_id, key, text):
        body = {
            "model": "m",
            "max_tokens": 4,
            "messages": [{"role": "user", "content": text}],
        }
        response = self.post(
            address, "/v1/chat/completions", body, program_id, key
        )
        stream = sseclient.SSEClient(iter([response.data]))
        found = [event for event in stream.events() if event.event == "done"]
        return json.loads(found[0].data) if found else None

    def address_of(self, program_id, asked):
        url = f"http://{asked}/v1/address?program_id={program_id}"
        return self.http.request("GET", url).json()["address"]

    def test_program_survives_the_death_of_its_entry_process(self):
        first, *others = self.entries
        started = self.post(first, "/v1/programs", {"customer": "restwell"})
        program_id = started.json()["program_id"]
        owner = self.address_of(program_id, others[0])
        self.assertEqual(
            self.chat(owner, program_id, "c1", "hi")["code"], 1000
        )
        booked = self.post(
            owner, "/v1/tools/booking/book", {"slot": 7}, program_id, "c2"
        )
        self.assertEqual(booked.json()["runs"], 1)

        self.entries[owner].kill()

        survivor = next(other for other in others if other != owner)
        deadline_s = time.monotonic() + TAKEOVER_TIMEOUT_S
        successor = owner
        while successor == owner and time.monotonic() < deadline_s:
            time.sleep(0.1)
            successor = self.address_of(program_id, survivor)
        self.assertNotEqual(successor, owner)
        again = self.post(
            successor, "/v1/tools/booking/book", {"slot": 7}, program_id, "c2"
        )
        self.assertEqual(again.json(), booked.json())
        answer = self.chat(successor, program_id, "c3", "and now?")
        self.assertEqual(answer["code"], 1000)
        shown = self.http.request(
            "GET", f"http://{successor}/v1/programs/{program_id}"
        ).json()
        contents = [message["content"] for message in shown["messages"]]
        self.assertEqual(contents[0], "hi")
        self.assertEqual(contents[2], "and now?")
        url = f"http://{self.tools.address}/runs"
        self.assertEqual(self.http.request("GET", url).json(), {"c2": 1})
