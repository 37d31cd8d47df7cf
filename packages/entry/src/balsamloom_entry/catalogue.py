"""Lookup of models, services and customers in the configuration."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from balsamloom_configuration import document as documents
from balsamloom_configuration import schemas
from balsamloom_core import errors, results, settings
from balsamloom_entry import limits as call_limits
from balsamloom_entry import model_calls, tool_calls
from balsamloom_policy import settings as policy_settings
from balsamloom_state import budgets

SETTING_SCHEMAS = {
    "routing": policy_settings.SCHEMA,
    "limits": call_limits.SCHEMA,
}
RETRY_AFTER_MS = 1_000


class Customer(NamedTuple):
    """A customer's entry hosts and the default budget of its programs."""

    name: str
    default_budget: budgets.Limits
    entry_hosts: tuple[str, ...]


class Catalogue:
    """Looks up entries of the configuration document in force.

    :param document: returns the document in force.
    """

    def __init__(self, document: Callable[[], documents.Document]) -> None:
        self._document = document

    def model(self, name: str) -> model_calls.ModelSpec:
        """Return a model.

        :param name: name of the model.
        :raises BalsamloomError: if the configuration does not have it.
        """
        code = results.ResultCode.UNKNOWN_MODEL
        entry = self._entry("models", name, schemas.MODEL, code)
        return model_calls.ModelSpec(
            name, entry["max_tokens"], entry["history_tokens"]
        )

    def operation(self, service: str, name: str) -> tool_calls.Operation:
        """Return an operation of a service.

        :param service: name of the service.
        :param name: name of the operation.
        :raises BalsamloomError: if the configuration does not have it.
        """
        code = results.ResultCode.UNKNOWN_SERVICE
        entry = self._entry("services", service, schemas.SERVICE, code)
        configured = entry["operations"].get(name)
        if configured is None:
            raise errors.BalsamloomError(
                code, f"service {service!r} has no operation {name!r}"
            )
        operation = settings.with_defaults(configured, schemas.OPERATION)
        return tool_calls.Operation(
            service, name, operation["idempotent"], operation["timeout_ms"]
        )

    def customer(self, name: str) -> Customer:
        """Return a customer.

        :param name: name of the customer.
        :raises BalsamloomError: if the configuration does not have it.
        """
        code = results.ResultCode.UNKNOWN_CUSTOMER
        entry = self._entry("customers", name, schemas.CUSTOMER, code)
        budget = settings.with_defaults(
            entry["default_budget"], schemas.BUDGET
        )
        return Customer(
            name, budgets.Limits(**budget), tuple(entry["entry_hosts"])
        )

    def entry_hosts(self, name: str) -> tuple[str, ...]:
        """Return a customer's entry hosts, none for an unknown customer.

        :param name: name of the customer.
        """
        entry = self._document().merged("customers").get(name, {})
        return tuple(entry.get("entry_hosts", ()))

    def limits(self) -> call_limits.CallLimits:
        """Return the time and size limits of calls."""
        content = self._document().content("limits")
        return call_limits.from_document(content)

    def _entry(
        self,
        kind: str,
        name: str,
        schema: dict[str, Any],
        code: results.ResultCode,
    ) -> dict[str, Any]:
        document = self._document()
        if document.revision == 0:
            raise errors.BalsamloomError(
                results.ResultCode.CONFIGURATION_MISSING,
                retry_after_ms=RETRY_AFTER_MS,
            )
        entry = document.merged(kind).get(name)
        if entry is None:
            known = ", ".join(sorted(document.merged(kind))) or "none"
            raise errors.BalsamloomError(
                code, f"{kind} has no {name!r}; it has: {known}"
            )
        return settings.with_defaults(entry, schema)
