"""The subset of HTTP/1.1 that the soak's stand-ins and callers need."""

import asyncio
import socket
import struct


def reset(writer):
    """Resets a connection, as the end of a crashed process does."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:  # Not closed yet.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
    writer.transport.abort()


class ConnectionClosed(Exception):
    """The peer closed or reset the connection."""


class Message:
    """A request or a response: its start line, header fields and body."""

    def __init__(self, start_line, fields, body=b""):
        self.start_line = start_line
        self.fields = fields
        self.body = body

    def field(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError) as error:
        raise ConnectionClosed(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
    return Message(lines[0], fields)


async def read_chunk(reader):
    """Returns the next chunk of a chunked body; empty after the last one."""
    try:
        size = int(await reader.readuntil(b"\r\n"), 16)
        return (await reader.readexactly(size + 2))[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise ConnectionClosed(str(error)) from error


async def read_body(reader, message):
    if "chunked" in message.field("transfer-encoding"):
        while chunk := await read_chunk(reader):
            message.body += chunk
        return
    size = int(message.field("content-length", "0"))
    try:
        message.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise ConnectionClosed(str(error)) from error


def serialize_response(status, body=b"", **fields):
    """Returns a serialized response; _ in a field's name stands for -."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}"
              for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def serve(address, handle):
    """Serves requests at an address, or at a socket that listens there;
    handle(message, writer) answers each."""
    if isinstance(address, socket.socket):
        listener = {"sock": address}
    else:
        host, port = address.rsplit(":", 1)
        listener = {"host": host, "port": int(port)}

    async def handle_connection(reader, writer):
        writer.peer_has_closed = reader.at_eof  # Whether the peer closed.
        try:
            while True:
                message = await read_head(reader)
                await read_body(reader, message)
                await handle(message, writer)
                await writer.drain()
        except (ConnectionClosed, ConnectionError, asyncio.CancelledError):
            pass  # The peer disconnected, or the run is over.
        finally:
            writer.close()

    return await asyncio.start_server(handle_connection, limit=1 << 20,
                                      **listener)
