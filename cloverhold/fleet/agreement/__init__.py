"""Agreed views and leases: who may act, by numbered epochs that no paused node outlives. docs/design/agreement.md."""
