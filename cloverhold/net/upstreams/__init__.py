"""Calls to servers: one interface, a module a protocol. Each knows its protocol and nothing of another."""
