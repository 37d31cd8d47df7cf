"""Command that starts one stand-in."""

from __future__ import annotations

import click

from balsamloom_standins import _serving, engine, store, tools

_ADDRESS = click.option(
    "--address",
    default="127.0.0.1:0",
    show_default=True,
    help="Address to listen on.",
)


@click.group()
@click.version_option(package_name="balsamloom-standins")
def main() -> None:
    """Start a stand-in for a service of the platform. For tests only."""


@main.command("store")
@_ADDRESS
def run_store(address: str) -> None:
    """Serve the key-value service."""
    server = _serving.serve(store.StoreStandin(), address, store.THREADS)
    _serving.run_until_signal(server)


@main.command("engine")
@_ADDRESS
@click.option(
    "--token-ms", default=5.0, show_default=True, help="Time for one token."
)
@click.option(
    "--slots", default=8, show_default=True, help="Requests served at a time."
)
def run_engine(address: str, token_ms: float, slots: int) -> None:
    """Serve a model engine."""
    _serving.run_until_signal(
        _serving.serve(engine.EngineStandin(token_ms, slots), address)
    )


@main.command("tools")
@_ADDRESS
@click.option(
    "--duration-ms",
    default=5.0,
    show_default=True,
    help="Time for one operation.",
)
def run_tools(address: str, duration_ms: float) -> None:
    """Serve a tool service."""
    _serving.run_until_signal(
        _serving.serve(tools.ToolStandin(duration_ms), address)
    )
