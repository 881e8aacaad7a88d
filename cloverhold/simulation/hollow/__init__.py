"""Hollow nodes: a node's real cores of control, without front and traffic, hundreds a process, for tests at scale."""
