"""Data path: placement, budgets, attempts, membership and the relay."""
