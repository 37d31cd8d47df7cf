"""Workspaces of callers: who a key belongs to, and what belongs to it.

Decides for each request of a caller, without a call to another process. It
serves the edge process, which passes on the name and never the key.
"""
