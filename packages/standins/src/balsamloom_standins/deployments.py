"""Deployments of the two users on stand-ins, for tests and demonstrations."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple

import urllib3

from balsamloom_configuration import editing
from balsamloom_core import clock as clocks
from balsamloom_platform import etcd_gateway
from balsamloom_standins import fleet

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
APPLY_TIMEOUT_MS = 5_000
AUTHOR = "demo"


class Shape(NamedTuple):
    """Size of a deployment and names of its pools.

    ``engine_options`` has the command-line options of each model engine;
    the models and services of ``other_shapes`` run on the same servers.
    """

    customer: str
    model: str
    service: str
    failure_domains: tuple[str, ...]
    entry_count: int
    engine_options: tuple[tuple[str, ...], ...]
    tool_count: int
    operations: dict[str, dict[str, Any]]
    other_shapes: tuple[Shape, ...] = ()


IDEMPOTENT = {"idempotent": True}
RESTWELL = Shape(
    "restwell",
    "booking-agent",
    "visit-desk",
    ("city-a", "city-b", "city-c"),
    3,
    tuple(
        ("--token-ms", str(token_ms)) for token_ms in (2, 2, 3, 4, 5, 5, 6, 8)
    )
    + (("--token-ms", "8"), ("--token-ms", "10")),
    3,
    {"book": {}, "charge": {}, "dispatch": {}, "lookup": IDEMPOTENT},
)
WASSERREIGEN = Shape(
    "wasserreigen",
    "rota",
    "booking-application",
    ("allgaeu", "franken", "oberland", "schwaben"),
    4,
    tuple(("--token-ms", str(token_ms)) for token_ms in (2, 4, 4, 6, 8)),
    4,
    {"book": {}, "swap": {}, "release_valve": {}, "lookup": IDEMPOTENT},
)
COMBINED = RESTWELL._replace(other_shapes=(WASSERREIGEN,))


class Deployment:
    """Stand-ins, a configuration and entry processes of one customer.

    :param processes: fleet that runs the processes.
    :param shape: size and names of the deployment.
    :param entry_settings: settings that differ from the defaults.
    """

    def __init__(
        self,
        processes: fleet.Fleet,
        shape: Shape,
        entry_settings: dict[str, Any] | None = None,
    ) -> None:
        self.fleet = processes
        self.shape = shape
        self.entry_settings = entry_settings or {}
        self.store = processes.standin("store")
        self.engines = [
            processes.standin("engine", *options)
            for options in shape.engine_options
        ]
        self.tools = [
            processes.standin("tools") for _ in range(shape.tool_count)
        ]
        self.entries: list[fleet.Process] = []
        self._http = urllib3.PoolManager(retries=False)

    def start(self) -> None:
        """Configure and start the deployment, and wait until it is ready."""
        for name, content in self.sections().items():
            self.apply(name, content)
        for number in range(self.shape.entry_count):
            self.add_entry(number)
        self.wait_ready()

    def sections(self) -> dict[str, dict[str, Any]]:
        """Return the sections of the configuration document."""
        sections: dict[str, dict[str, Any]] = {"routing": {}, "limits": {}}
        shapes = (self.shape, *self.shape.other_shapes)
        sections["customers"] = {shape.customer: {} for shape in shapes}
        for shape in shapes:
            prefix = shape.customer
            sections[f"models/{prefix}"] = {
                shape.model: {"servers": _servers(f"{prefix}-m", self.engines)}
            }
            sections[f"services/{prefix}"] = {
                shape.service: {
                    "servers": _servers(f"{prefix}-s", self.tools),
                    "operations": shape.operations,
                }
            }
        return sections

    def apply(self, section: str, content: dict[str, Any]) -> int:
        """Replace a section of the configuration.

        :param section: name of the section.
        :param content: new content.
        :return: revision of the document.
        """
        store = etcd_gateway.EtcdGateway(self.store.address)
        editor = editing.Editor(store, clocks.Clock())
        current = editor.get().sections.get(section)
        edit = editing.Edit(
            section,
            content,
            current.revision if current else 0,
            AUTHOR,
            "",
            editing.new_edit_id(),
        )
        match editor.apply(edit, APPLY_TIMEOUT_MS):
            case editing.AppliedEdit(revision):
                return revision
            case outcome:
                raise RuntimeError(f"edit of {section} failed: {outcome}")

    def add_entry(self, number: int) -> fleet.Process:
        """Start an entry process.

        :param number: number in its name; it also selects the failure domain.
        """
        domains = self.shape.failure_domains
        settings = {
            "failure_domain": domains[number % len(domains)],
            "store_address": self.store.address,
            "fault_injection": True,
            "linger_ms": 200,
            **self.entry_settings,
        }
        name = f"{self.shape.customer}-{number}"
        entry = self.fleet.entry(name, settings)
        self.entries.append(entry)
        return entry

    def live_entries(self) -> list[fleet.Process]:
        """Return the entry processes that are running."""
        return [entry for entry in self.entries if entry.is_running]

    def status(self, entry: fleet.Process) -> dict[str, Any]:
        """Return the status of an entry process, or ``{}`` without an answer.

        :param entry: entry process.
        """
        url = f"http://{entry.address}/v1/status"
        try:
            response = self._http.request("GET", url, timeout=2)
            document: dict[str, Any] = response.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return {}
        return document

    def wait_ready(self) -> None:
        """Wait until all live processes share a map and have partitions."""
        try:
            self.wait_until(self._is_ready, "entry processes are ready")
        except TimeoutError as error:
            statuses = [self.status(entry) for entry in self.live_entries()]
            raise TimeoutError(f"{error}; their status: {statuses}") from None

    def wait_until(
        self,
        condition: Callable[[], bool],
        description: str,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> float:
        """Wait until a condition holds.

        :param condition: returns whether the condition holds.
        :param description: text for the error.
        :param timeout_s: longest wait.
        :return: time waited, in ms.
        :raises TimeoutError: if it does not hold in time.
        """
        start_s = time.monotonic()
        while not condition():
            if time.monotonic() - start_s > timeout_s:
                raise TimeoutError(f"not within {timeout_s} s: {description}")
            time.sleep(POLL_INTERVAL_S)
        return (time.monotonic() - start_s) * clocks.MS_PER_S

    def _is_ready(self) -> bool:
        found = [self.status(entry) for entry in self.live_entries()]
        versions = {status.get("map_version") for status in found}
        return (
            len(versions) == 1
            and all(status.get("partitions") for status in found)
            and all(status.get("configuration_revision") for status in found)
            and all(status.get("members") == len(found) for status in found)
        )


def _servers(
    prefix: str, standins: list[fleet.Process]
) -> list[dict[str, Any]]:
    return [
        {
            "id": f"{prefix}{number}",
            "address": standin.address,
            "concurrency": 8,
        }
        for number, standin in enumerate(standins)
    ]
