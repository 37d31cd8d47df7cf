"""One program served end to end by separate processes."""

import unittest

import urllib3

from balsamloom_cli import client
from balsamloom_standins import deployments, fleet


class WholePathTest(unittest.TestCase):
    """Guards against losing a program's history with its entry process."""

    def setUp(self):
        running = fleet.Fleet()
        self.addCleanup(running.stop)
        shape = deployments.RESTWELL._replace(
            engine_options=(("--token-ms", "2"),), tool_count=1
        )
        self.deployment = deployments.Deployment(running, shape)
        self.deployment.start()
        addresses = [entry.address for entry in self.deployment.entries]
        self.caller = client.Caller(addresses, shape.customer)
        self.shape = shape

    def chat(self, program_id, key, text):
        body = {
            "model": self.shape.model,
            "max_tokens": 4,
            "messages": [{"role": "user", "content": text}],
        }
        return list(self.caller.chat(program_id, body, key))[-1]

    def book(self, program_id, key):
        return self.caller.tool(
            program_id, self.shape.service, "book", {"slot": 7}, key
        )

    def test_program_survives_the_death_of_its_entry_process(self):
        program_id = self.caller.start({"customer": self.shape.customer})
        self.assertEqual(self.chat(program_id, "c1", "hi").body["code"], 1000)
        booked = self.book(program_id, "c2")
        owner = self.caller.address(program_id).address

        for entry in self.deployment.entries:
            if entry.address == owner:
                entry.kill()

        again = self.book(program_id, "c2")
        self.assertEqual(again, booked)
        answer = self.chat(program_id, "c3", "and now?")
        self.assertEqual(answer.body["code"], 1000)
        self.assertNotEqual(self.caller.address(program_id).address, owner)
        shown = self.caller.show(program_id)
        asked = [
            message["content"]
            for message in shown["messages"]
            if message["role"] == "user"
        ]
        self.assertEqual(asked, ["hi", "and now?"])
        url = f"http://{self.deployment.tools[0].address}/runs"
        runs = urllib3.request("GET", url).json()
        self.assertEqual(runs, {"c2": 1})
        records = urllib3.request(
            "GET", f"http://{self.deployment.tools[0].address}/records"
        ).json()["records"]
        keys = [record["sent_key"] for record in records]
        # A tool must be able to tell two programs' calls apart by the key.
        self.assertEqual(keys, [f"{program_id}/c2"])
