"""daleroad: serving of generations of unknown length on crowded engines."""

from importlib import import_module
from typing import Any

_HOMES = {
    "AdmissionController": "admission",
    "Caller": "caller",
    "Control": "control",
    "DaleroadError": "errors",
    "Entry": "entry",
    "Failure": "errors",
    "FailureKind": "errors",
    "OperatorClient": "operating",
    "Ran": "errors",
    "Replica": "consensus",
    "Settings": "settings",
    "SettingsError": "errors",
    "StorageError": "errors",
    "Token": "caller",
    "Whole": "caller",
    "load_settings": "settings",
}
"""Modules of the public names; each is imported when it is first asked for, since processes on
small VMs need few of them."""

__all__ = list(_HOMES)


def __getattr__(name: str) -> Any:
    """Import a public name from its module."""
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_HOMES[name]}"), name)
