"""Soaks: random, overlapping faults from a seed, played by real processes and judged by the rules alone."""
