"""HTTP server of the stand-ins: werkzeug's threaded server with keep-alive and few writes."""

from __future__ import annotations

import _thread
import contextlib
import io
import json
import signal
import socket
import struct
import threading
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from types import FrameType
from typing import Any

from pydantic import ValidationError
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.serving import BaseWSGIServer, ThreadedWSGIServer, WSGIRequestHandler
from werkzeug.wrappers import Request, Response

from carobspool_standins._faults import FaultBoard, Faults
from carobspool_standins._settings import ServerSettings
from carobspool_standins.errors import AbortConnection

View = Callable[..., Response]
WsgiApplication = Callable[[dict[str, Any], Any], Iterable[bytes]]

JSON_TYPE = "application/json"
SHUTDOWN_POLL_INTERVAL_S = 0.05
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def json_response(
    value: Any, status: int = HTTPStatus.OK, headers: dict[str, str] | None = None
) -> Response:
    """Return a JSON response."""
    body = json.dumps(value, separators=(",", ":"))
    return Response(body, status=int(status), headers=headers, content_type=JSON_TYPE)


def error_response(
    status: int, code: str, message: str, headers: dict[str, str] | None = None
) -> Response:
    """Return an error response in the format that OpenAI clients expect."""
    error = {"type": "standin_error", "code": code, "message": message}
    return json_response({"error": error}, status, headers)


def abort_connection(request: Request) -> AbortConnection:
    """Return the exception that makes the server reset the request's connection."""
    return AbortConnection(f"{request.method} {request.path}")


def application(rules: Sequence[Rule]) -> WsgiApplication:
    """Return a WSGI application that dispatches each request to the view of its rule.

    Args:
        rules: Rules whose ``endpoint`` is a view; it is called with the request and the
            variables of the path.
    """
    paths = Map(rules, strict_slashes=False, merge_slashes=False, redirect_defaults=False)

    def run(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        request = Request(environ)
        try:
            view, values = paths.bind_to_environ(environ).match()
            response = view(request, **values)
        except HTTPException as error:
            status = error.code or HTTPStatus.INTERNAL_SERVER_ERROR
            response = error_response(status, "refused", error.name)
        start_response(response.status, list(response.headers))
        chunks: Iterable[bytes] = response.response
        return chunks

    return run


def fault_rules(
    board: FaultBoard[Any], *, is_down: Callable[[], bool] = lambda: False
) -> list[Rule]:
    """Return the rules common to all stand-ins: health check and faults.

    Args:
        board: Faults of the stand-in.
        is_down: Returns whether the stand-in refuses connections, those of health checks included.
    """

    def health(request: Request) -> Response:
        if is_down():
            raise abort_connection(request)
        return json_response({"status": "ok"})

    def show(_request: Request) -> Response:
        return json_response(board.current.model_dump())

    def merge(request: Request) -> Response:
        try:
            faults: Faults = board.merge(request.get_json(force=True))
        except (ValidationError, TypeError) as error:
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_fault", str(error))
        return json_response(faults.model_dump())

    def reset(_request: Request) -> Response:
        return json_response(board.reset().model_dump())

    return [
        Rule("/health", methods=["GET"], endpoint=health),
        Rule("/faults", methods=["GET"], endpoint=show),
        Rule("/faults", methods=["POST"], endpoint=merge),
        Rule("/faults/reset", methods=["POST"], endpoint=reset),
    ]


class _Handler(WSGIRequestHandler):
    """Keeps connections alive, reads request bodies completely and buffers writes.

    werkzeug's own handler closes every connection and makes four writes for each chunk, which
    costs more than the simulated work.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 65536

    def run_wsgi(self) -> None:
        """Read one request and send its response."""
        if self.headers.get("Expect", "").lower() == "100-continue":
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.wfile.flush()
        environ = self.make_environ()
        length = int(self.headers.get("Content-Length") or 0)
        if not environ.get("wsgi.input_terminated"):
            environ["wsgi.input"] = io.BytesIO(self.rfile.read(length) if length else b"")
        else:
            environ["wsgi.input"] = io.BytesIO(environ["wsgi.input"].read())
        try:
            self._send_response(environ)
        except AbortConnection:
            self._reset_connection()
        except (ConnectionError, TimeoutError):
            self.close_connection = True

    def finish(self) -> None:
        """Close the connection; ignore that the client has disconnected."""
        with contextlib.suppress(ConnectionError):
            super().finish()

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Log nothing, because a stand-in keeps its own record of requests."""

    def _send_response(self, environ: dict[str, Any]) -> None:
        head: list[Any] = []

        def start_response(status: str, headers: list[tuple[str, str]], _: Any = None) -> Any:
            head[:] = [status, headers]

        chunks = self.server.app(environ, start_response)
        chunked = self._send_head(*head)
        try:
            if self.command == "HEAD":
                return
            for chunk in chunks:
                self._send_body_chunk(chunk, chunked=chunked)
            if chunked:
                self.wfile.write(b"0\r\n\r\n")
            self.wfile.flush()
        finally:
            close = getattr(chunks, "close", None)
            if close is not None:
                close()

    def _send_head(self, status: str, headers: list[tuple[str, str]]) -> bool:
        code, _, reason = status.partition(" ")
        self.send_response(int(code), reason)
        chunked = True
        for name, value in headers:
            self.send_header(name, value)
            if name.lower() == "content-length":
                chunked = False
        if chunked:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        return chunked

    def _send_body_chunk(self, chunk: bytes, *, chunked: bool) -> None:
        if not chunk:
            return
        if not chunked:
            self.wfile.write(chunk)
            return
        self.wfile.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        self.wfile.flush()

    def _reset_connection(self) -> None:
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.wfile.flush()
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            self.connection.close()


class _Server(ThreadedWSGIServer):
    """Accepts connections without waiting for the threads that serve them.

    ``Thread.start`` returns only once the new thread has run. On a busy machine, connections of a
    burst then waited up to 110 ms to be accepted, longer than simulated steps take.
    """

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve one connection in a new thread."""
        _thread.start_new_thread(self.process_request_thread, (request, client_address))


def make_http_server(settings: ServerSettings, app: WsgiApplication) -> BaseWSGIServer:
    """Return a server that listens on the address of ``settings`` but doesn't serve yet."""
    server = _Server(settings.address, settings.port, app, handler=_Handler)
    server.daemon_threads = True
    return server


def serve_until_terminated(settings: ServerSettings, app: WsgiApplication) -> None:
    """Print the port and serve requests until SIGTERM or SIGINT."""
    server = make_http_server(settings, app)

    def stop(_signal: int, _frame: FrameType | None) -> None:
        threading.Thread(target=server.shutdown, daemon=True).start()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    print(f"ready port={server.port}", flush=True)
    server.serve_forever(poll_interval=SHUTDOWN_POLL_INTERVAL_S)
