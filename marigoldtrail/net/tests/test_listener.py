"""Close of listening sockets, over real sockets."""

import errno
import select
import socket

from marigoldtrail.net.listener import accept_and_close


class SlowListener(socket.socket):
    """A listening socket; callers connect between its last accept and its close."""

    late_caller = None

    def accept(self):
        """Accept a connection; once there is none, let a caller connect and send a request."""
        try:
            return super().accept()
        except BlockingIOError:
            self.late_caller = socket.socket()
            self.late_caller.settimeout(0.2)
            try:
                self.late_caller.connect(self.getsockname())
                self.late_caller.sendall(b"request")
            except TimeoutError:
                pass
            raise


def test_caller_between_the_last_accept_and_the_close_is_refused_not_reset():
    """Guards against connections that are established and reset when a listener is closed."""
    listener = SlowListener()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.setblocking(False)
    address = listener.getsockname()
    callers = [socket.create_connection(address) for _ in range(3)]
    accepted = accept_and_close(listener)
    assert len(accepted) == len(callers)
    with listener.late_caller as caller:
        # The attempt to connect goes on until the opening packet is repeated.
        select.select([], [caller], [], 10)
        assert caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED
    for sock in (*callers, *accepted):
        sock.close()
