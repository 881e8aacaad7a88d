"""cloverhold: the decisions of a load-balancing proxy, without any input or output of its own.

The names are loaded when they are first asked for: a node's process holds its signals before it loads anything else.
"""

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cloverhold.decision.decide import Balancer
    from cloverhold.decision.interface import (
        Action,
        Cancel,
        ClassSettings,
        ClientGone,
        CloseIdle,
        Event,
        Fail,
        Fetch,
        Group,
        Lifecycle,
        ListKind,
        ListMode,
        LoadReport,
        NewSettings,
        Log,
        Outcome,
        PeerMessage,
        Probe,
        ProbeReply,
        Refuse,
        Repeat,
        Request,
        Send,
        ServerEntry,
        ServerList,
        SetTimer,
        Settings,
        Status,
        Streaming,
        Tell,
        TenantSettings,
        Timer,
        Watch,
        WeightSource,
        Whole,
    )

__version__ = "0.1.0"

__all__ = [
    "Action",
    "Balancer",
    "Cancel",
    "ClassSettings",
    "ClientGone",
    "CloseIdle",
    "Event",
    "Fail",
    "Fetch",
    "Group",
    "Lifecycle",
    "ListKind",
    "ListMode",
    "LoadReport",
    "Log",
    "NewSettings",
    "Outcome",
    "PeerMessage",
    "Probe",
    "ProbeReply",
    "Refuse",
    "Repeat",
    "Request",
    "Send",
    "ServerEntry",
    "ServerList",
    "SetTimer",
    "Settings",
    "Status",
    "Streaming",
    "Tell",
    "TenantSettings",
    "Timer",
    "Watch",
    "WeightSource",
    "Whole",
    "__version__",
]


def __getattr__(name: str) -> object:
    if name == "__version__" or name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    home = "cloverhold.decision.decide" if name == "Balancer" else "cloverhold.decision.interface"
    return getattr(import_module(home), name)
