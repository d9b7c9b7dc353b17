"""A client of a model engine."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import urllib3

from primroselever_core.identifiers import WeightsDigest
from primroselever_core.outcomes import Reason
from primroselever_node.platform.http_client import (
    CallTimeout,
    LineStream,
    new_http_pool,
    new_timeout,
    read_body,
)

from ..exceptions import BackendError, EngineCallError, UnansweredCallError
from .failure import error_for_exception

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroselever_core.runs.registry import Run
    from primroselever_core.transfer.manifest import Manifest

STATE_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 30.0
READ_TIMEOUT_S = 10.0
STATE_CALL_TIMEOUT_S = 4.0
ORDER_CALL_TIMEOUT_S = 60.0  # with the time to send a chunk
# Counted from the record before it or from the start of the call. A record may arrive
# in several parts, each within READ_TIMEOUT_S.
RECORD_TIMEOUT_S = 20.0
STREAM_READ_BYTES = 1 << 16
MAX_STATE_BYTES = 1 << 20
MAX_RECORD_BYTES = 1 << 20
MAX_BOUNDARY_BYTES = 1 << 16  # of the records and lines of an answer without its text
MAX_LOGGED_BYTES = 200

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports; ``digest`` is empty without weights."""

    digest: WeightsDigest
    fencing: int
    in_flight: int


class EngineClient:
    """A client of the engine's HTTP protocol; see docs/platform.md."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.http = new_http_pool(connections=256)

    def state(self) -> EngineState:
        """Return the engine's state, or raise ``EngineCallError``."""
        reply = self.call_engine("GET", "/v1/state", b"", state_timeout())
        try:
            return EngineState(
                digest=WeightsDigest(str(reply.get("digest") or "")),
                fencing=int(reply.get("fencing") or 0),
                in_flight=int(reply.get("in_flight") or 0),
            )
        except (TypeError, ValueError, OverflowError) as exc:
            raise EngineCallError(
                f"/v1/state: the engine's state has an invalid number: {exc}"
            ) from exc

    def is_reachable(self) -> bool:
        """Return whether the engine's address answers HTTP requests."""
        try:
            reply = self.http.request(
                "GET",
                self.url + "/",
                timeout=state_timeout(),
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            logger.warning("%s cannot be reached: %s", self.url, exc)
            return False
        reply.close()
        return True

    def put_chunk(self, digest: WeightsDigest, index: int, data: bytes) -> None:
        """Hand one verified chunk to the engine."""
        self.call_engine(
            "PUT", f"/v1/weights/{digest}/chunks/{index}", data, order_timeout()
        )

    def load(self, manifest: Manifest, fencing: int) -> None:
        """Order the engine to serve a version of which it was handed all chunks."""
        order = {
            "order": "load",
            "digest": manifest.digest,
            "model": manifest.model,
            "adapter": manifest.adapter,
            "version": manifest.version,
            "chunks": len(manifest.chunks),
            "fencing": fencing,
        }
        self.call_engine(
            "POST", "/v1/orders", json.dumps(order).encode(), order_timeout()
        )

    def call_engine(
        self, method: str, path: str, body: bytes, timeout: CallTimeout
    ) -> dict[str, Any]:
        """
        Return the engine's reply, a JSON object, or raise ``EngineCallError``.

        ``UnansweredCallError`` is raised if the engine may have acted, or may yet act,
        on a call of which it did not state the outcome.
        """
        try:
            reply = self.http.request(
                method,
                self.url + path,
                body=body,
                timeout=timeout,
                preload_content=False,
            )
            data = read_body(reply, MAX_STATE_BYTES)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise EngineCallError(f"{path}: the engine is not reached: {exc}") from exc
        except urllib3.exceptions.HTTPError as exc:
            raise UnansweredCallError(
                f"{path}: the engine does not answer: {exc}"
            ) from exc
        if reply.status >= 300:
            text = data[:MAX_LOGGED_BYTES].decode("utf-8", "replace")
            message = f"{path}: the engine answered {reply.status}: {text}"
            if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                raise UnansweredCallError(message)
            raise EngineCallError(message)
        try:
            fields = json.loads(data or b"{}")
        except ValueError as exc:
            raise EngineCallError(
                f"{path}: the engine's reply is not valid JSON: {exc}"
            ) from exc
        if not isinstance(fields, dict):
            raise EngineCallError(f"{path}: the engine's reply is not a JSON object")
        return fields

    def run(self, run: Run, body: bytes, priority: int) -> Iterator[bytes]:
        """
        Yield the answer's records, one JSON object per line.

        The engine sends its weights digest in the start and end records. Both must
        match the run's digest; otherwise the answer comes from mixed weights and the
        run fails.
        """
        fields = {
            "run_id": run.run_id,
            "workspace": run.workspace,
            "priority": priority,
            "body": body.decode("utf-8", "replace"),
        }
        timeout = new_timeout(READ_TIMEOUT_S, RECORD_TIMEOUT_S)
        try:
            reply = self.http.request(
                "POST",
                f"{self.url}/v1/generate",
                body=json.dumps(fields).encode(),
                preload_content=False,
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise error_for_exception(exc) from exc
        try:
            if reply.status != HTTPStatus.OK:
                raise error_for_status(reply.status)
            stream = LineStream(reply, timeout.call, RECORD_TIMEOUT_S)
            yield from self.read_records(run, stream)
        except urllib3.exceptions.HTTPError as exc:
            raise BackendError(Reason.ENGINE_FAILED, str(exc)) from exc
        finally:
            reply.close()

    def read_records(self, run: Run, stream: LineStream) -> Iterator[bytes]:
        """Check the start and end records, and yield the records between them."""
        incomplete_line = bytearray()
        boundary_bytes = 0
        ended = False
        for data in stream.stream(STREAM_READ_BYTES):
            lines: list[bytes] = []
            if b"\n" in data:
                *lines, rest = data.split(b"\n")
                lines[0] = bytes(incomplete_line) + lines[0]
                incomplete_line = bytearray(rest)
            else:
                # Joining each small part with those before it would take too long.
                incomplete_line += data
            if len(incomplete_line) > MAX_RECORD_BYTES:
                raise BackendError(
                    Reason.ANSWER_DAMAGED,
                    f"a record of the answer has more than {MAX_RECORD_BYTES} bytes",
                )
            answer_lines = []
            for line in lines:
                if line.startswith(b'{"text"'):
                    answer_lines.append(line + b"\n")
                    continue
                boundary_bytes += len(line) + 1
                if boundary_bytes > MAX_BOUNDARY_BYTES:
                    raise BackendError(
                        Reason.ANSWER_DAMAGED,
                        f"the answer has more than {MAX_BOUNDARY_BYTES} bytes beside "
                        "its text",
                    )
                if line:
                    record = parse_record(line)
                    ended = self.check_boundary_record(run, record) or ended
            if answer_lines:
                yield b"".join(answer_lines)
        if not ended:
            raise BackendError(
                Reason.ENGINE_FAILED, "the answer stops without an end record"
            )

    def check_boundary_record(self, run: Run, record: dict[str, Any]) -> bool:
        """Check the digest of a start or end record; return whether it is the end."""
        boundary = record.get("end") or record.get("start")
        if not isinstance(boundary, dict):
            raise BackendError(
                Reason.ENGINE_FAILED, f"unexpected record from the engine: {record}"
            )
        if boundary.get("digest") != run.weights_digest:
            message = (
                f"the engine runs {boundary.get('digest')}, not {run.weights_digest}"
            )
            raise BackendError(Reason.WEIGHTS_CHANGED, message)
        return "end" in record

    def cancel(self, run: Run) -> None:
        """Stop a run; only log it if the engine does not answer."""
        try:
            reply = self.http.request(
                "DELETE",
                f"{self.url}/v1/runs/{run.run_id}",
                timeout=state_timeout(),
                preload_content=False,
            )
            read_body(reply, MAX_STATE_BYTES)
        except urllib3.exceptions.HTTPError as exc:
            logger.warning(
                "run %s was not cancelled at the engine: %s", run.run_id, exc
            )


def state_timeout() -> CallTimeout:
    """Return the timeouts of a call that begins now and has short bodies."""
    return new_timeout(STATE_TIMEOUT_S, STATE_CALL_TIMEOUT_S)


def order_timeout() -> CallTimeout:
    """Return the timeouts of an order, or of a chunk, that is sent now."""
    return new_timeout(ORDER_TIMEOUT_S, ORDER_CALL_TIMEOUT_S)


def error_for_status(status: int) -> BackendError:
    """
    Return the error of a run that the engine answered with an error status.

    Status 503 means that the engine has no weights, as after a crash, so nothing
    ran. With any other status, the run may have begun.
    """
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        message = "the engine has no weights"
        return BackendError(Reason.NO_WEIGHTS, message, never_ran=True)
    return BackendError(
        Reason.ENGINE_REFUSED, f"the engine answered with status {status}"
    )


def parse_record(line: bytes) -> dict[str, Any]:
    """Return a record of an answer, or raise ``BackendError`` if it is invalid."""
    try:
        record = json.loads(line)
    except ValueError as exc:
        message = f"a line of the answer is not JSON: {line[:80]!r}"
        raise BackendError(Reason.ENGINE_FAILED, message) from exc
    if not isinstance(record, dict):
        message = f"a record of the answer is not an object: {line[:80]!r}"
        raise BackendError(Reason.ENGINE_FAILED, message)
    return record
