"""A TCP proxy on loopback that delays, silences, resets or refuses the connections through it."""

import asyncio
import socket
import struct
import threading

CHUNK = 65536


class ProxyLoop:
    """An event loop in a thread of its own, on which all proxies run."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()


class Proxy:
    """Passes connections to `target` on. `kind` is one of KINDS; a change also affects the open
    connections."""

    KINDS = ("pass", "delay", "silent", "silent_requests", "silent_responses", "refuse", "reset")
    DELAY_SECONDS = 0.15

    def __init__(self, proxy_loop, target):
        self.proxy_loop = proxy_loop
        self.target = target
        self.kind = "pass"
        self.writers = set()
        server = proxy_loop.run(asyncio.start_server(self.serve, "127.0.0.1", 0))
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def set(self, kind):
        self.kind = kind
        if kind in ("reset", "refuse"):
            self.proxy_loop.loop.call_soon_threadsafe(self.reset_all)
        if kind == "reset":
            self.kind = "pass"  # New connections work.

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        if self.kind == "refuse":
            reset(writer)
            return
        ip, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, "silent_requests"),
                             self.pump(far_reader, writer, "silent_responses"))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, silent_kind):
        try:
            while data := await reader.read(CHUNK):
                while self.kind in ("silent", silent_kind):
                    await asyncio.sleep(0.02)
                if self.kind == "delay":
                    await asyncio.sleep(self.DELAY_SECONDS)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            reset(writer)


def reset(writer):
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # Closed already.
    writer.transport.abort()
