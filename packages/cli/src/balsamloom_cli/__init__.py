"""Operator and caller commands, and the caller's client library."""
