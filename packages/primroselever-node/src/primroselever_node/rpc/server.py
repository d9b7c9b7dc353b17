"""A thrift server with one greenlet for each connection."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import eventlet
from thriftpy2.thrift import TProcessor
from thriftpy2.transport import TTransportException

from ..listen import listen_and_retry
from .client_pool import IDLE_CONNECTION_S
from .counting_socket import MAX_KEPT_BUFFER_BYTES, CountingSocket
from .limits import CALL_ARRIVAL_S, MAX_CALL_BYTES
from .message_scanner import MessageError

if TYPE_CHECKING:
    from eventlet.greenio import GreenSocket

MAX_CONNECTIONS = 4096
MAX_LOGGED_CHARACTERS = 150  # of an error that may quote received bytes
IDLE_TIMEOUT_S = 2 * IDLE_CONNECTION_S

logger = logging.getLogger(__name__)


class HandlerError(Exception):
    """A handler raised an error that the called method does not declare."""


class HandlerProcessor(TProcessor):
    """Distinguishes errors of the handler from those of the caller's bytes."""

    def process_in(self, iprot: Any) -> Any:
        """Decode a call; raise ``MessageError`` if it cannot be decoded."""
        try:
            return super().process_in(iprot)
        except (TTransportException, OSError, EOFError, MessageError):
            raise
        except Exception as exc:
            # The decoder raises several kinds of errors for bytes that are no call.
            message = f"a call cannot be decoded: {exc!r}"[:MAX_LOGGED_CHARACTERS]
            raise MessageError(message) from exc

    def handle_exception(self, e: Exception, result: Any) -> bool:
        """Store a declared exception in the reply; raise ``HandlerError`` otherwise."""
        if super().handle_exception(e, result):
            return True
        raise HandlerError(str(e)) from e


class RpcServer:
    """
    Serves one thrift service on one address until it is stopped.

    A connection that is idle for ``idle_s`` seconds is closed. Clients close their
    idle connections earlier, so this closes the connections of VMs that died without
    closing them, which would otherwise stay open indefinitely. A call must arrive
    within ``call_arrival_s`` seconds from its first byte.
    """

    def __init__(
        self,
        service: Any,
        handler: Any,
        host: str,
        port: int,
        idle_s: float = IDLE_TIMEOUT_S,
        call_arrival_s: float = CALL_ARRIVAL_S,
    ) -> None:
        self.processor = HandlerProcessor(service, handler)
        self.idle_s = idle_s
        self.call_arrival_s = call_arrival_s
        self.socket = listen_and_retry(host, port)
        self.host, self.port = self.socket.getsockname()
        self.greenlet: Any = None

    def start(self) -> None:
        """Start accepting connections in a greenlet."""
        self.greenlet = eventlet.spawn(
            eventlet.serve, self.socket, self.serve_connection, MAX_CONNECTIONS
        )

    def stop(self) -> None:
        """Stop accepting connections; open ones stay open until the process exits."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self.socket.close()

    def serve_connection(self, connection: GreenSocket, peer: object) -> None:
        """
        Answer calls on one connection until it is closed or idle for too long.

        An error of a handler, and a message that cannot be read, close it too.
        """
        handle = CountingSocket(
            max_message_bytes=MAX_CALL_BYTES,
            idle_s=self.idle_s,
            message_s=self.call_arrival_s,
        )
        handle.set_handle(connection)
        protocol = handle.new_protocol()
        try:
            while True:
                handle.begin_message()
                self.processor.process(protocol, protocol)
                if handle.largest_read_bytes > MAX_KEPT_BUFFER_BYTES:
                    protocol = handle.new_protocol()
        except MessageError as exc:
            logger.warning("closing the connection of %s: %s", peer, exc)
        except (TTransportException, OSError, EOFError):
            pass
        except Exception:
            logger.exception("a call failed; closing its connection")
        finally:
            handle.close()
