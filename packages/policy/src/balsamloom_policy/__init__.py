"""Routing, order of service, limits, retries and admission of calls."""
