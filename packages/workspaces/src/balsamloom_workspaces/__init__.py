"""Workspaces of callers: who a key belongs to, and what belongs to it."""
