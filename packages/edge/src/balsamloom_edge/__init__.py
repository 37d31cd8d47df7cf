"""Edge process that serves callers: built, started and stopped as a whole.

It decides nothing about requests; that is up to its parts, most of them in
``balsamloom_gateway``.
"""
