"""Builders and fakes for the gateway's tests."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

import stores

from balsamloom_conversations import replicas
from balsamloom_core import clock as clocks
from balsamloom_edge import process
from balsamloom_edge import settings as edge_settings
from balsamloom_gateway import (
    estimates,
    fleet,
    health,
    interfaces,
    json_parsing,
    ledger,
    ledger_records,
    listeners,
    peers,
    planner,
    send_permits,
    server_limits,
    traffic,
    usage_journal,
    usages,
)
from balsamloom_quotas import limits
from balsamloom_workspaces import credentials

SERVICE = "engines"


def server(
    server_id: str = "s1",
    service: str = SERVICE,
    slots: int = 8,
    is_draining: bool = False,
    incarnation: int = 1,
    failure_domain: str = "a",
    version: str = "v1",
) -> traffic.BackendServer:
    """Build a backend server."""
    return traffic.BackendServer(
        server_id,
        service,
        "127.0.0.1:1",
        failure_domain,
        slots,
        is_draining,
        incarnation,
        version,
    )


def route(
    kind: traffic.RouteKind = traffic.RouteKind.IDEMPOTENT,
    max_attempts: int = 2,
    prefix: str = "/a/",
    host: str = "h.example",
    shares: tuple[tuple[str, float], ...] = ((SERVICE, 1.0),),
    timeout_ms: float = 2_000.0,
    is_stateful: bool = False,
) -> traffic.Route:
    """Build a route."""
    return traffic.Route(
        name=f"r{prefix}",
        host=host,
        path_prefix=prefix,
        kind=kind,
        shares=tuple(traffic.ServiceShare(*share) for share in shares),
        max_attempts=max_attempts,
        timeout_ms=timeout_ms,
        objective_ms=200.0,
        priority=0,
        is_resumable=False,
        is_stateful=is_stateful,
        retention_ms=60_000.0,
    )


def configuration(
    version: int = 1, routes: tuple[traffic.Route, ...] | None = None
) -> traffic.Configuration:
    """Build a configuration with one engine service."""
    engine = traffic.Engine(48, 100_000, 3)
    return traffic.Configuration(
        version,
        routes if routes is not None else (route(),),
        {SERVICE: traffic.Service(SERVICE, 100, engine)},
        traffic.IngressLimits(16_384, 1_000_000, 1_000.0, 5_000.0),
    )


def workspace(
    name: str, *keys: str, priority: int | None = None
) -> traffic.Workspace:
    """Build a workspace with some keys."""
    digests = tuple(credentials.digest_key(key.encode()) for key in keys)
    return traffic.Workspace(name, digests, priority)


def turn_call(
    budget_tokens: int = 600, turn_tokens: int = 60, program_id: str = "p"
) -> traffic.CallMetadata:
    """Build the metadata of a turn's call, decoded from its headers."""
    return traffic.CallMetadata(
        "r",
        None,
        program_id,
        "",
        None,
        budget_tokens,
        100,
        turn_tokens,
        0,
        (),
        "",
    )


def turn_request(
    prompt: tuple[traffic.PromptPart, ...] = (traffic.PromptPart("a", 100),),
    left_ms: float = 5_000.0,
) -> planner.TurnRequest:
    """Build the request for a turn that a holder receives."""
    tokens = sum(part.tokens for part in prompt)
    return planner.TurnRequest(SERVICE, prompt, tokens, 30, left_ms)


def turn_report(
    server_id: str = "s1",
    outcome: health.Outcome = health.Outcome.SUCCEEDED,
    step_ms: float | None = None,
) -> planner.TurnReport:
    """Build the report of a turn's outcome."""
    observation = estimates.Observation(20.0, step_ms, None)
    return planner.TurnReport(server_id, outcome, observation)


def as_json(message: Any) -> Any:
    """Return a message as another process decodes it from JSON."""
    return json.loads(json.dumps(message))


def member(name: str, incarnation: str = "1") -> traffic.Member:
    """Build a member, in the failure domain of its name's last character."""
    return traffic.Member(
        name, f"{name}:1", f"{name}:2", name[-1], incarnation
    )


class Records:
    """Keys and formats of the tests' records: JSON under plain prefixes."""

    prefixes = ("config", "server/", "member/", "storage/", "crash/")

    def kind(self, key: str) -> interfaces.RecordKind:
        """Return the kind of record at a key."""
        name = key.partition("/")[2]
        match key.partition("/")[0]:
            case "config":
                return interfaces.ConfigurationRecord()
            case "server":
                return interfaces.ServerRecord(name)
            case "member":
                return interfaces.MemberRecord(name)
            case "storage":
                return interfaces.StorageHostRecord(name)
            case "order":
                return interfaces.EvacuationOrder(name)
            case "status":
                return interfaces.EvacuationStatus(name)
            case "crash":
                return interfaces.CrashRecord(*name.split("/"))
            case "versions":
                return interfaces.VersionsRecord(name)
            case "served":
                return interfaces.SharedTargetRecord(name)
            case _:
                return interfaces.IgnoredRecord()

    def member_key(self, name: str) -> str:
        """Return the key of a member's registration."""
        return f"member/{name}"

    def ledger_key(self, program_id: str) -> str:
        """Return the key of a program's budget record."""
        return f"ledger/{program_id}"

    def crash_key(self, target_id: str, body_id: str, server_run: str) -> str:
        """Return the key of the record of a crash."""
        return f"crash/{target_id}/{body_id}/{server_run}"

    def versions_key(self, service: str) -> str:
        """Return the key of the record of a service's versions."""
        return f"versions/{service}"

    def shared_target_key(self, target_id: str) -> str:
        """Return the key of the record of a target that was served."""
        return f"served/{target_id}"

    def storage_host_key(self, name: str) -> str:
        """Return the key of a storage host's registration."""
        return f"storage/{name}"

    def evacuation_status(
        self, host: str, is_complete: bool
    ) -> tuple[str, bytes]:
        """Return key and value of an evacuation's status."""
        return f"status/{host}", b"empty" if is_complete else b"begun"

    def configuration(self, value: bytes) -> traffic.Configuration:
        """Decode a version number into a configuration."""
        if not value.isdigit():
            raise interfaces.InvalidRecordError("no number")
        return configuration(int(value))

    def server(self, server_id: str, value: bytes) -> traffic.BackendServer:
        """Decode a server's record."""
        try:
            found = json_parsing.parse_object(value)
            registered = server(
                server_id,
                is_draining=found["is_draining"],
                incarnation=found.get("incarnation", 1),
                version=found.get("version", "v1"),
            )
            address = found.get("address", registered.address)
            return registered._replace(address=address)
        except (ValueError, KeyError) as error:
            raise interfaces.InvalidRecordError(str(error)) from error


class Journal:
    """Journal in memory, as storage hosts have it."""

    def __init__(self) -> None:
        self.is_up = True
        self.entries: dict[tuple[str, str], usage_journal.UsageEntry] = {}
        self.settlements: dict[str, int] = {}

    def write(self, entries: Sequence[usage_journal.UsageEntry]) -> bool:
        if not self.is_up:
            return False
        for entry in entries:
            known = self.entries.get(entry[:2], entry)
            if known.sequence <= entry.sequence:
                self.entries[entry[:2]] = entry
        return True

    def read(self, program_id: str) -> usage_journal.JournalAnswer:
        found = [
            entry
            for entry in list(self.entries.values())
            if entry.program_id == program_id
        ]
        if not self.is_up:
            return usage_journal.JournalAnswer((), is_complete=False)
        return usage_journal.JournalAnswer(
            tuple(found), is_complete=True, settlements=self.settlements
        )


def prove(account: ledger.Account, journal: Journal) -> None:
    """Write what an account handed out to a journal, if it must be there."""
    if account.needs_entry:
        entry = account.next_entry()
        journal.write([entry])
        account.confirm_entry(entry)


def usage_report(
    holder: str = "m2/1",
    recorded: int = 0,
    unrecorded: int = 0,
    budget: int = 600,
    sequence: int = 1,
    others: dict[str, ledger_records.Share] | None = None,
) -> usages.UsageReport:
    """Build the report of a holder that has not read the record."""
    running = {"": unrecorded} if unrecorded else {}
    share = ledger_records.Share(unrecorded, 0, sequence, running)
    return usages.UsageReport(
        usages.Usage("p", budget, recorded, unrecorded),
        {**(others or {}), holder: share},
    )


def register_server(
    view: fleet.Fleet, server_id: str, version: str = "v1"
) -> None:
    """Register a server in a view."""
    fields = server(server_id, version=version)._asdict()
    value = json.dumps(fields).encode()
    revision = len(view.registered_servers()) + 1
    view.apply([interfaces.Item(f"server/{server_id}", value, revision)])


def storage_host(name: str) -> replicas.StorageHost:
    """Build a storage host."""
    return replicas.StorageHost(name, f"{name}:1", name[0], f"disk-{name}")


def edge_process(
    name: str = "m1",
    store: stores.Store | None = None,
    records: Records | None = None,
    addresses: tuple[str, str] = ("127.0.0.1:0", "127.0.0.1:0"),
    quota_bounds: limits.Bounds | None = None,
) -> process.EdgeProcess:
    """Build an edge process with a store in memory and free ports.

    :param addresses: for callers and for other members.
    :param quota_bounds: bounds of rate quotas, ``None`` for no quotas.
    """

    def answer(
        request: listeners.Request, response: listeners.Response
    ) -> None:
        response.send(200, ())

    address = "127.0.0.1:0"
    settings = edge_settings.EdgeSettings(
        name=name,
        incarnation="1",
        failure_domain="a",
        caller_address=addresses[0],
        ready_address=address,
        lookup_address=address,
        peer_address=addresses[1],
        metrics_address=address,
        threads=8,
        is_first_start=True,
        view_bound_ms=1_000.0,
        grace_ms=4_000.0,
        lease_ms=3_000,
        copies=1,
        quota_bounds=quota_bounds,
    )
    return process.EdgeProcess(
        settings,
        store or stores.Store(),
        records or Records(),
        Codec(),
        process.AuxiliaryHandlers(lambda _: answer, lambda _: answer),
        clocks.Clock(),
    )


def fleet_view() -> fleet.Fleet:
    """Build an empty view."""
    return fleet.Fleet(Records(), manual_clock())


def permits(
    name: str,
    view: fleet.Fleet,
    clock: clocks.Clock,
    clients: peers.PeerClients | None = None,
) -> send_permits.SendPermits:
    """Build the permits of a member that knows no limits yet."""
    return send_permits.SendPermits(
        name,
        server_limits.ServerLimits(),
        clients or peers.PeerClients(clock),
        view,
        clock,
    )


def activate_configuration(
    view: fleet.Fleet,
    routes: tuple[traffic.Route, ...],
    workspaces: tuple[traffic.Workspace, ...] | None = None,
) -> None:
    """Make a configuration with some routes the active one."""
    view._active_configuration = fleet.ActiveConfiguration(
        configuration(1, routes)._replace(workspaces=workspaces)
    )


def manual_clock() -> clocks.ManualClock:
    """Build a clock that tests advance explicitly."""
    return clocks.ManualClock(1_000_000.0)


class Codec:
    """Codec of the tests' header fields, which have no prefix."""

    request_id_field = b"request-id"

    def decode_call(self, headers):
        """Decode the fields of a caller's request."""
        request_id = headers.get(b"Request-Id", b"").decode()
        if not request_id:
            raise interfaces.InvalidCallError("Request-Id is missing")
        budget = headers.get(b"Budget")
        deadline = headers.get(b"Deadline")
        program_ms = headers.get(b"Program-Ms")
        return traffic.CallMetadata(
            request_id=request_id,
            deadline_ms=float(deadline) if deadline else None,
            program_id=headers.get(b"Program", b"").decode(),
            session_id="",
            program_deadline_ms=float(program_ms) if program_ms else None,
            token_budget=int(budget) if budget else None,
            prompt_tokens=10,
            max_output_tokens=30,
            expected_output_tokens=0,
            prompt=(),
            affinity_key="",
            previous_turn_id=headers.get(b"Previous", b"").decode("latin-1"),
            resumed_id=headers.get(b"Resumes", b"").decode()
            if b"Last-Event-Id" in headers
            else None,
        )

    def forwarded_fields(
        self, headers, server_id, left_ms, engine_priority, workspace_name
    ):
        """Return the fields of the request that is sent to a server."""
        fields = []
        if workspace_name is not None:
            fields.append((b"Workspace", workspace_name.encode()))
        if engine_priority is not None:
            fields.append((b"Priority", b"%d" % engine_priority))
        if b"Authorization" in headers:
            fields.append((b"Authorization", headers[b"Authorization"]))
        return [
            *fields,
            (b"Request-Id", headers[b"Request-Id"]),
            (b"Expected", server_id.encode()),
            (b"Deadline", b"%d" % left_ms),
        ]

    def handed_over_fields(self, headers, left_ms):
        """Return the fields of a request that another member serves."""
        dropped = (b"Content-Length", b"Accept-Encoding", b"Deadline")
        fields = [pair for pair in headers.items() if pair[0] not in dropped]
        return [*fields, (b"Deadline", b"%d" % left_ms)]

    def decode_response(self, status, headers):
        """Decode the fields of a server's response."""
        found = {name.lower(): value for name, value in headers}
        return traffic.AnswerMetadata(
            request_id=found.get(b"request-id", b"").decode(),
            is_not_executed=b"not-executed" in found,
            is_signed=b"signed" in found,
            load=None,
            idle_timeout_ms=None,
            is_leaving=b"leaving" in found,
            limit_per_s=float(found[b"limit"]) if b"limit" in found else None,
        )

    def relayed_fields(self, headers):
        """Return the fields of a server's response to send to the caller."""
        dropped = (b"content-length", b"transfer-encoding", b"connection")
        return [
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
        ]

    def response_fields(self, request_id, retry_after_ms):
        """Return the fields of a response that this process generates."""
        fields = [(b"Request-Id", request_id.encode())]
        if retry_after_ms is not None:
            fields.append((b"Retry-After", b"%.3f" % (retry_after_ms / 1000)))
        return fields


def server_record(is_draining=False, sequence=0, incarnation=1):
    """Build a server's record; decoding it ignores ``sequence``."""
    return json.dumps(
        {
            "is_draining": is_draining,
            "sequence": sequence,
            "incarnation": incarnation,
        }
    ).encode()
