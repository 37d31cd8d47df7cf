"""Pace at which a server that has started or recovered gets calls.

It decides for the gateway's balancers how many calls one host may have in
flight at such a server, from how the server answers. Hosts decide alone.
"""
