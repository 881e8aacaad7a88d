"""The operator's own file: one TOML document beside the platform's, a table a subsystem.

`reading` turns the file into typed tables or into lines that say what is wrong. Each table is declared by its
subsystem; nothing here knows any of them. Not imported where no such file is named: a node without one reads only what
the platform tells it. May import msgspec and the standard library.
"""
