"""Pace at which a backend server that has started or recovered gets calls."""
