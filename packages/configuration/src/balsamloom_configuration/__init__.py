"""Operators' configuration: document, editing and distribution."""
