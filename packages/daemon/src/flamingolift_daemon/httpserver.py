"""HTTP listeners: falcon applications on uvicorn servers in one event loop."""

import asyncio
import contextlib

import falcon
import falcon.asgi
import uvicorn
from flamingolift_model import RESULT_CODE_INFO, Fault, FaultError, ResultCode
from flamingolift_wire.problems import MEDIA_TYPE, problem_body, problem_headers
from uvicorn.protocols.http.h11_impl import H11Protocol

from flamingolift_daemon.logs import logger
from flamingolift_daemon.sockets import SLOW_READER_TIMEOUT_MS, set_user_timeout

__all__ = ["EmbeddedServer", "make_app", "make_server", "track_caller", "write_problem"]

KEEP_ALIVE_S = 75
LINGER_S = 1.0
"""Time for which input is discarded after a refusal, before closing (s)."""
BACKLOG = 2048


class ProblemProtocol(H11Protocol):
    """HTTP protocol that answers a malformed request with a problem document.

    Attributes:
        refused: Whether the connection was refused and its input is discarded.
    """

    refused = False

    def connection_made(self, transport):
        """Sets the socket options; called by the event loop.

        Args:
            transport: asyncio transport.
        """
        set_user_timeout(transport.get_extra_info("socket"), SLOW_READER_TIMEOUT_MS)
        super().connection_made(transport)
        self._start_idle_timeout()

    def data_received(self, data):
        """Takes input, or discards it after a refusal.

        Args:
            data: Bytes from the caller.
        """
        if not self.refused:
            super().data_received(data)
            self._start_idle_timeout()

    def _start_idle_timeout(self):
        """Starts the keep-alive timeout unless a request is in progress.

        uvicorn starts it after responses only, and ends it when bytes arrive, so that
        a connection without a whole request head would stay open.
        """
        is_idle = self.cycle is None or self.cycle.response_complete
        if is_idle and self.timeout_keep_alive_task is None:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def send_400_response(self, msg):
        """Sends the problem document and closes the connection.

        Args:
            msg: uvicorn's description of the fault.
        """
        too_large = (
            len(self.conn.trailing_data[0]) >= self.config.h11_max_incomplete_event_size
        )
        code = ResultCode.TOO_LARGE if too_large else ResultCode.BAD_REQUEST
        fault = Fault(code, "the request head is too large" if too_large else msg)
        body = problem_body(fault)
        lines = [
            f"HTTP/1.1 {RESULT_CODE_INFO[code].status} {code.name}",
            f"content-type: {MEDIA_TYPE}",
            f"content-length: {len(body)}",
            "connection: close",
        ]
        lines += [f"{name.lower()}: {value}" for name, value in problem_headers(fault)]
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        # Closing the socket with unread input would reset the connection, and the
        # caller might lose the answer.
        self.refused = True
        self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)


class EmbeddedServer(uvicorn.Server):
    """uvicorn server that leaves signal handling to the composition root."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Captures no signals."""
        yield


def make_server(app, host, port, max_header_bytes):
    """Returns a server for one listener.

    Args:
        app: ASGI application.
        host: IP address.
        port: TCP port.
        max_header_bytes: Largest request head (bytes).
    """
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        http=ProblemProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=True,
        h11_max_incomplete_event_size=max_header_bytes,
        timeout_keep_alive=KEEP_ALIVE_S,
        backlog=BACKLOG,
    )
    return EmbeddedServer(config)


def make_app():
    """Returns a falcon application that answers errors with problem documents."""
    app = falcon.asgi.App()
    app.add_error_handler(Exception, _handle_exception)
    app.add_error_handler(falcon.HTTPError, _handle_http_error)
    app.add_error_handler(FaultError, _handle_fault)
    return app


async def _handle_fault(req, resp, exc, params):
    write_problem(resp, exc.fault)


async def _handle_http_error(req, resp, exc, params):
    code = ResultCode.BAD_REQUEST
    if exc.status_code == 404:
        code = ResultCode.NOT_FOUND
    elif exc.status_code == 413:
        code = ResultCode.TOO_LARGE
    write_problem(resp, Fault(code, exc.title or ""))


async def _handle_exception(req, resp, exc, params):
    logger.error("unexpected_exception", exc_info=exc)
    write_problem(resp, Fault(ResultCode.INTERNAL, type(exc).__name__))


def track_caller(app):
    """Wraps an ASGI application so that it is told when a caller disconnects.

    Args:
        app: ASGI application. It finds the event in ``scope["caller_gone"]``.

    Returns:
        ASGI application. It also delays "100 Continue" until the application reads
        the body, so that a refused caller does not upload it.
    """

    async def tracked(scope, receive, send):
        if scope["type"] != "http":
            return
        gone = scope["caller_gone"] = asyncio.Event()
        has_body = any(
            name in (b"content-length", b"transfer-encoding") and value != b"0"
            for name, value in scope["headers"]
        )
        disconnect_watcher = (
            None
            if has_body
            else asyncio.ensure_future(_watch_disconnect(receive, gone))
        )
        body_requested = False

        async def tracked_receive():
            nonlocal body_requested, disconnect_watcher
            if not body_requested:
                body_requested = True
                return {"type": "http.request", "body": b"", "more_body": has_body}
            if disconnect_watcher is not None:
                await gone.wait()
                return {"type": "http.disconnect"}
            event = await receive()
            if event["type"] == "http.disconnect":
                gone.set()
            elif not event.get("more_body", False):
                disconnect_watcher = asyncio.ensure_future(
                    _watch_disconnect(receive, gone)
                )
            return event

        try:
            await app(scope, tracked_receive, send)
        finally:
            if disconnect_watcher is not None:
                disconnect_watcher.cancel()

    return tracked


async def _watch_disconnect(receive, gone):
    """Sets the event when the caller's connection is closed."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            gone.set()
            return


def write_problem(resp, fault):
    """Writes the problem document of a Fault to a falcon response.

    Args:
        resp: falcon response.
        fault: Fault.
    """
    resp.status = RESULT_CODE_INFO[fault.code].status
    resp.content_type = MEDIA_TYPE
    resp.data = problem_body(fault)
    resp.stream = None
    for name, value in problem_headers(fault):
        resp.set_header(name, value)
