"""Operators' configuration: sections, checks, edits and distribution."""
