"""Fronts: a protocol's bytes into exchanges, and answers back. Each knows its protocol and nothing of another."""
