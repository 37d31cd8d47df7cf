"""Rate quotas of workspaces, counted over all edge hosts together."""
