"""Rate quotas of workspaces over all edge hosts together.

A few edge hosts, the granters, lease tokens to all others. A host serves a
request of a limited workspace only for a token. The package decides how many
tokens there are, who may grant them and when they end; ``service`` connects
that to threads and messages. It serves the gateway.
"""
