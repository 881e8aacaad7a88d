"""Scale tests: what docs/CAPACITY.md rests on."""
