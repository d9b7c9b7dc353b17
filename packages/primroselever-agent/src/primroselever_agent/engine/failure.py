"""Errors of calls to a back end that raised an exception."""

from __future__ import annotations

import urllib3

from primroselever_core.outcomes import Reason

from ..exceptions import BackendError

CONNECT_ERRORS = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
)


def error_for_exception(exc: urllib3.exceptions.HTTPError) -> BackendError:
    """
    Return the error of a run whose call raised ``exc``.

    A connection that was never opened proves that the run did not begin. After any
    other error the run may have begun, so the call is not retried.
    """
    never_ran = isinstance(exc, CONNECT_ERRORS)
    return BackendError(Reason.ENGINE_FAILED, str(exc), never_ran=never_ran)
