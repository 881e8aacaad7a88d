"""Nodes among nodes: off unless the operator's file names it, and then loaded whole.

What one room knows is a hint or a permission, and its docstring says which. `membership` asks none of the rooms that
stand on it.
"""
