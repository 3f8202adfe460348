#!/usr/bin/env python3
"""Callers that send more than the node reads, and ask for more than they read: what waits in the kernel
takes the machine's memory as much as what the process holds. Guards against a machine that runs out of memory
because the buffers of its connections together are larger than it.

For each row: the processes live, their peak memory and the bytes that wait in the kernel at the node's side
stay together under the memory of the machine, and an ordinary request is answered afterwards. Nothing else is
checked: no times and no share of served requests."""

import os
import selectors
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_cut import CutPlatform  # noqa: E402
from platform_standins import HOST, KEY, Node  # noqa: E402
from story import run_case  # noqa: E402

MB = 1024 * 1024
MEMORY_MB = 60  # lowered, so that a small crowd exceeds it; also the bound on what is held
MAX_FDS = 2000
CALLERS = 600  # as many as the node admits with this memory
READERS = 100  # that ask for answers and don't read them
BLOCKED_S = 1.0  # A caller that can send nothing for so long waits for the node.
BODY_BYTES = 4 * MB  # max_body_bytes
HEAD = f"POST /read/ok HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\nDeadline-Ms: 20000\r\n"
BODY = (HEAD + f"Content-Length: {BODY_BYTES}\r\n\r\n").encode() + b"x" * MB  # stops short of its end
CHUNKS = (HEAD + "Transfer-Encoding: chunked\r\n\r\n").encode() + b"1\r\nx\r\n" * (MB // 6)
RELAYING, DIRECT = 0, 1  # nodes
LISTENING = "0A"  # state in /proc/net/tcp


class SmallNode(Node):
    extra_settings = f"memory_mb: {MEMORY_MB}\nmax_fds: {MAX_FDS}\n"


class SmallPlatform(CutPlatform):
    """A relaying node and a node with a path to the upstreams, both on small machines."""

    node_type = SmallNode


def send_until_blocked(connections, message):
    """Each connection takes as much of the message as it can."""
    selector = selectors.DefaultSelector()
    for connection in connections:
        connection.setblocking(False)
        selector.register(connection, selectors.EVENT_WRITE, memoryview(message))
    while ready := selector.select(BLOCKED_S):
        for key, _ in ready:
            try:
                size = key.fileobj.send(key.data)
            except OSError:  # Refused or closed, which the node may do.
                size = len(key.data)
            if size == len(key.data):
                selector.unregister(key.fileobj)
            else:
                selector.modify(key.fileobj, selectors.EVENT_WRITE, key.data[size:])
    selector.close()


def peak_bytes(node):
    for line in Path(f"/proc/{node.process.pid}/status").read_text().split("\n"):
        if line.startswith("VmHWM"):
            return int(line.split()[1]) * 1024
    return 0  # The process has ended.


def kernel_bytes(node):
    """Returns the bytes that wait in the kernel at the node's side of its callers' connections: those that the
    node has not read, and those that the callers have not taken."""
    port = int(str(node.caller).rsplit(":", 1)[-1])
    total = 0
    for line in Path("/proc/net/tcp").read_text().split("\n")[1:]:
        fields = line.split()
        if len(fields) > 4 and int(fields[1].split(":")[1], 16) == port and fields[3] != LISTENING:
            total += sum(int(queue, 16) for queue in fields[4].split(":"))
    return total


def is_served(platform, node):
    try:
        return platform.send_request("ordinary", "/read/ok", node=node)[0] == 200
    except OSError:
        return False


def check_row(platform, transcript, name, index, use):
    """`use` makes the callers' connections do their worst and returns the bytes in the kernel."""
    node = platform.nodes[index]
    for process in (other.process for other in platform.nodes):
        Path(f"/proc/{process.pid}/clear_refs").write_text("5")  # Resets the peak.
    connections = [platform.connect(node.caller) for _ in range(CALLERS)]
    in_kernel = use(node, connections)
    held = peak_bytes(node) + in_kernel
    for connection in connections:
        connection.close()
    platform.wait_until(lambda: is_served(platform, index), 40)
    alive = all(other.process.poll() is None for other in platform.nodes)
    print(f"# {name}: {in_kernel / MB:.1f} MB in the kernel, {held / MB:.1f} MB together", file=sys.stderr, flush=True)
    transcript.write(f"{name}: alive: {alive}, memory bounded: {held <= MEMORY_MB * MB}, an ordinary request is served")


def send_to_halted(message):
    """The callers send to a process that stands still."""

    def use(node, connections):
        os.kill(node.process.pid, signal.SIGSTOP)
        send_until_blocked(connections, message)
        unread = kernel_bytes(node)
        os.kill(node.process.pid, signal.SIGCONT)
        return unread

    return use


def leave_answers(node, connections):
    """Some callers ask for large answers and don't read them."""
    for i, connection in enumerate(connections[:READERS]):
        connection.sendall(f"GET /read/large HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: large{i}\r\n"
                           f"Api-Key: {KEY}\r\n\r\n".encode())
    time.sleep(2 * BLOCKED_S)
    return kernel_bytes(node)


def run_checks(platform, transcript):
    platform.wait_until(lambda: all(is_served(platform, node) for node in (RELAYING, DIRECT)))
    check_row(platform, transcript, "bodies that stop short, sent to a halted process", DIRECT, send_to_halted(BODY))
    check_row(platform, transcript, "tiny chunks, sent to a halted process", DIRECT, send_to_halted(CHUNKS))
    check_row(platform, transcript, "bodies that stop short, relayed", RELAYING, send_to_halted(BODY))
    check_row(platform, transcript, "answers that are not read", DIRECT, leave_answers)


if __name__ == "__main__":
    run_case(run_checks, lambda: SmallPlatform(nodes=2))
