"""The real node with one fault planted in its membership: `python unsound.py NAME`."""

from __future__ import annotations

import sys

from cloverhold import __main__ as node
from cloverhold.fleet.membership import core, shell
from tests.fleet.membership import planted

unsound: type[core.Member] = getattr(planted, sys.argv[1])
vars(shell)["Member"] = unsound
sys.exit(node.main())
