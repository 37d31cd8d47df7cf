"""Operator and caller commands."""
