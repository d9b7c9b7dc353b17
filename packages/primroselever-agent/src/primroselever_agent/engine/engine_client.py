"""A client of a model engine."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import urllib3

from primroselever_core.identifiers import WeightsDigest
from primroselever_core.outcomes import Reason
from primroselever_node.platform.http_client import new_http_pool, timeout

from ..exceptions import BackendError, OrderError
from .failure import failed

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroselever_core.runs.registry import Run
    from primroselever_core.transfer.manifest import Manifest

STATE_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 30.0
SILENCE_TIMEOUT_S = 10.0
READ_BYTES = 1 << 16


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says of itself; ``digest`` is empty without weights."""

    digest: WeightsDigest
    fencing: int
    in_flight: int


class EngineClient:
    """Speaks the engine's HTTP protocol; see docs/platform.md."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.http = new_http_pool(connections=256)

    def state(self) -> EngineState:
        """Return the engine's state, or raise ``OrderError``."""
        reply = self.order("GET", "/v1/state", b"", STATE_TIMEOUT_S)
        return EngineState(
            digest=WeightsDigest(str(reply.get("digest") or "")),
            fencing=int(reply.get("fencing") or 0),
            in_flight=int(reply.get("in_flight") or 0),
        )

    def answers(self) -> bool:
        """Return whether anything answers at the address."""
        try:
            self.http.request("GET", self.url + "/", timeout=timeout(STATE_TIMEOUT_S))
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def put_chunk(self, digest: WeightsDigest, index: int, data: bytes) -> None:
        """Hand one verified chunk to the engine."""
        self.order("PUT", f"/v1/weights/{digest}/chunks/{index}", data, ORDER_TIMEOUT_S)

    def load(self, manifest: Manifest, fencing: int) -> None:
        """Order the engine to serve a version that it was handed whole."""
        order = {
            "order": "load",
            "digest": manifest.digest,
            "model": manifest.model,
            "adapter": manifest.adapter,
            "version": manifest.version,
            "chunks": len(manifest.chunks),
            "fencing": fencing,
        }
        self.order("POST", "/v1/orders", json.dumps(order).encode(), ORDER_TIMEOUT_S)

    def order(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> dict[str, Any]:
        """Return the JSON of a reply, or raise ``OrderError``."""
        try:
            reply = self.http.request(
                method, self.url + path, body=body, timeout=timeout(timeout_s)
            )
        except urllib3.exceptions.HTTPError as exc:
            raise OrderError(f"{path}: the engine does not answer: {exc}") from exc
        if reply.status >= 300:
            text = reply.data.decode("utf-8", "replace")
            raise OrderError(f"{path}: the engine answered {reply.status}: {text}")
        try:
            fields = json.loads(reply.data or b"{}")
        except ValueError as exc:
            raise OrderError(f"{path}: the engine's reply is no JSON: {exc}") from exc
        if not isinstance(fields, dict):
            raise OrderError(f"{path}: the engine's reply is no JSON object")
        return fields

    def run(self, run: Run, body: bytes, priority: int) -> Iterator[bytes]:
        """
        Yield the answer's records, a JSON object a line.

        The engine states its weights digest at the start and at the end; both
        must be the run's, else the answer is of mixed weights and fails.
        """
        fields = {
            "run_id": run.run_id,
            "workspace": run.workspace,
            "priority": priority,
            "body": body.decode("utf-8", "replace"),
        }
        try:
            reply = self.http.request(
                "POST",
                f"{self.url}/v1/generate",
                body=json.dumps(fields).encode(),
                preload_content=False,
                timeout=timeout(SILENCE_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError as exc:
            raise failed(exc) from exc
        try:
            if reply.status != HTTPStatus.OK:
                raise refused(reply.status)
            yield from self.records(run, reply)
        except urllib3.exceptions.HTTPError as exc:
            raise BackendError(Reason.ENGINE_FAILED, str(exc)) from exc
        finally:
            reply.close()

    def records(self, run: Run, reply: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
        """Yield the records between the start and the end, which are checked."""
        rest = b""
        ended = False
        for data in reply.stream(READ_BYTES):
            *lines, rest = (rest + data).split(b"\n")
            answer = []
            for line in lines:
                if line.startswith(b'{"text"'):
                    answer.append(line + b"\n")
                elif line:
                    ended = self.check_mark(run, json.loads(line)) or ended
            if answer:
                yield b"".join(answer)
        if not ended:
            raise BackendError(Reason.ENGINE_FAILED, "the answer has no end")

    def check_mark(self, run: Run, record: dict[str, Any]) -> bool:
        """Check a start or end record's digest; return whether it is the end."""
        mark = record.get("end") or record.get("start")
        if mark is None:
            raise BackendError(Reason.ENGINE_FAILED, f"engine said {record}")
        if mark.get("digest") != run.weights_digest:
            message = f"engine runs {mark.get('digest')}, not {run.weights_digest}"
            raise BackendError(Reason.WEIGHTS_CHANGED, message)
        return "end" in record

    def cancel(self, run: Run) -> None:
        """Stop a run; an engine that does not answer is left alone."""
        try:
            self.http.request(
                "DELETE",
                f"{self.url}/v1/runs/{run.run_id}",
                timeout=timeout(STATE_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError:
            return


def refused(status: int) -> BackendError:
    """
    Return the failure of a run that the engine answered with an error status.

    With 503 the engine says that it has no weights, as after a crash: nothing ran.
    Any other status leaves that open.
    """
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        message = "the engine has no weights"
        return BackendError(Reason.NO_WEIGHTS, message, never_ran=True)
    return BackendError(Reason.ENGINE_REFUSED, f"status {status}")
