"""Helpers that start stand-ins and send requests to them."""

import time

import urllib3

from balsamloom_platform import etcd_gateway
from balsamloom_standins import fleet


def start_standin(test, kind, *options):
    # A separate process, because faults may leave its threads hanging.
    processes = fleet.Fleet()
    test.addCleanup(processes.stop)
    return processes.standin(kind, *options).address


def send(address, method, path, body=None, headers=None):
    with urllib3.PoolManager(retries=False) as pool:
        return pool.request(
            method, f"http://{address}{path}", json=body, headers=headers
        )


def start_store(test):
    address = start_standin(test, "store")
    return address, etcd_gateway.EtcdGateway(address)


def set_fault(address, **fault):
    response = send(address, "POST", "/faults", fault)
    assert response.status == 200, response.data


def chat(engine, max_tokens, tag="p1/1/c", priority=0, content="hello"):
    body = {
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "priority": priority,
    }
    return engine.chat(body, tag, 1_000, 10_000)


def wait_until(test, check, timeout_s=5):
    end_s = time.monotonic() + timeout_s
    while not check():
        test.assertLess(time.monotonic(), end_s, "condition not met in time")
        time.sleep(0.01)
