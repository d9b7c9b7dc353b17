"""What a failed call to a back end proves."""

from __future__ import annotations

import urllib3

from primroselever_core.outcomes import Reason

from ..exceptions import BackendError

NEVER_CONNECTED = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
)


def failed(exc: urllib3.exceptions.HTTPError) -> BackendError:
    """
    Return the failure of a run whose call raised ``exc``.

    Only a connection that was never opened proves that nothing began. One that
    broke after the call was sent proves nothing, and is never tried again.
    """
    never_ran = isinstance(exc, NEVER_CONNECTED)
    return BackendError(Reason.ENGINE_FAILED, str(exc), never_ran=never_ran)
