"""Programs, budgets, the journal and the partition map."""
