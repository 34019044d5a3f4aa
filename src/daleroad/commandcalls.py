"""Calls that commands of the command line make to a coordinator."""

import os
import sys
from typing import TypeVar

import anyio

from daleroad.calls import make_url
from daleroad.channels import ChannelCalls
from daleroad.errors import Failure

SECRET_VARIABLE = "DALEROAD_SECRET"
"""Environment variable with the secret of our processes."""

_FAILED = 1

T = TypeVar("T")


def ask_coordinator(coordinator: str, name: str, body: bytes, shape: type[T]) -> T:
    """Return a coordinator's answer; end with an error line where there is none.

    :param coordinator: IP:PORT where our processes call it.
    :param name: the call.
    :param body: the question as JSON.
    :param shape: the type of the answer.
    """
    return exit_on_failure(call_coordinator(coordinator, name, body, shape))


def call_coordinator(coordinator: str, name: str, body: bytes, shape: type[T]) -> T | Failure:
    """Return a coordinator's answer, or a failure; the parameters are those of ask_coordinator."""
    return anyio.run(_call, coordinator, name, body, shape)


def exit_on_failure(answer: T | Failure) -> T:
    """Return an answer, or end with an error line if it is a failure.

    :param answer: the answer.
    """
    if isinstance(answer, Failure):
        print(f"{answer.kind}: {answer.reason}", file=sys.stderr)
        sys.exit(_FAILED)
    return answer


async def _call(coordinator: str, name: str, body: bytes, shape: type[T]) -> T | Failure:
    calls = ChannelCalls(os.environ.get(SECRET_VARIABLE, "daleroad"))
    answer: T | Failure = await calls.call(f"{make_url(coordinator)}/site/{name}", body, shape)
    return answer
