"""Close of a listener without a loss of the connections in its accept queue."""

from __future__ import annotations

import socket

from tornado.tcpserver import TCPServer

from sycamoreproxy.logs import get_logger

#: Connections that the kernel queues until the process accepts them.
LISTEN_BACKLOG = 1024
#: Connections accepted from the queue at the close of the listener, so that a flood of new ones
#: does not delay a stop.
MAX_QUEUED_CONNECTIONS = 2 * LISTEN_BACKLOG

_log = get_logger("accept_queue")


def stop_listening(server: TCPServer) -> int:
    """Accept what the kernel has accepted already, and close the listener.

    The kernel resets the connections that are in the accept queue when their listener is closed.

    :return: number of connections that were in the queue.
    """
    if server._stopped:
        return 0
    accepted = sum(_accept_queued(server, listener) for listener in server._sockets.values())
    server.stop()
    return accepted


def _accept_queued(server: TCPServer, listener: socket.socket) -> int:
    for accepted in range(MAX_QUEUED_CONNECTIONS):
        try:
            connection, address = listener.accept()
        except BlockingIOError:
            return accepted
        except ConnectionAbortedError:
            continue
        except OSError as error:
            _log.warning("accept queue not emptied", accepted=accepted, error=str(error))
            return accepted
        server._handle_connection(connection, address)
    return MAX_QUEUED_CONNECTIONS
