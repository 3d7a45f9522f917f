"""A crowd of clients that send large bodies piece by piece.

crowd.py IP PORT N PIECE BYTES PATH

Each of N connections sends a request whose body of BYTES bytes comes in chunks of PIECE
bytes, as fast as it is read. It stops just short of the end and stays open until this
program is ended. Only the head and the chunks are sent; an answer ends the connection.
"""

from __future__ import annotations

import selectors
import socket
import sys


ip, port, count, piece, size = sys.argv[1], *map(int, sys.argv[2:6])
path = sys.argv[6]
chunk = b"%x\r\n%b\r\n" % (piece, b"x" * piece)
BLOCK = 256
block = chunk * BLOCK
selector = selectors.DefaultSelector()


class Client:
    """One client of the crowd."""

    def __init__(self, number):
        self.left = size // piece // BLOCK - 1
        self.data = (
            f"POST {path}{number} HTTP/1.1\r\nHost: hulo84.example\r\n"
            f"Attempt-Id: c{number:015x}\r\nDeadline-Ms: 60000\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        self.socket = socket.socket()
        self.socket.connect((ip, port))
        self.socket.setblocking(False)
        selector.register(
            self.socket, selectors.EVENT_WRITE | selectors.EVENT_READ, self
        )

    def write(self):
        """Send what the connection takes, up to the end of the body but one block."""
        if not self.data:
            if not self.left:
                selector.modify(self.socket, selectors.EVENT_READ, self)
                return
            self.left -= 1
            self.data = block
        self.data = self.data[self.socket.send(self.data) :]

    def close(self, why):
        """End the connection."""
        selector.unregister(self.socket)
        self.socket.close()
        print(why, flush=True)


for number in range(count):
    Client(number)
print("connected", flush=True)
while selector.get_map():
    for key, events in selector.select():
        client = key.data
        try:
            if events & selectors.EVENT_READ:
                data = client.socket.recv(65536)
                client.close(data[:40] if data else "closed")
                continue
            client.write()
        except BlockingIOError:
            continue
        except OSError as error:
            client.close(error)
