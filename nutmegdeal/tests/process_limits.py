"""Measures what a running process takes, as the kernel of Linux reports it."""

import os
import pathlib

import attrs
import gevent

SAMPLE_PAUSE_S = 0.02
LISTEN_STATE = "0A"


@attrs.frozen
class SocketLine:
    """One socket of /proc/net/tcp.

    Parameters
    ----------
    local : str
        Address and port, as the kernel writes them.
    state, inode : str
    queued_bytes : int
        Bytes that were received and not read, or written and not acknowledged.
    """

    local: str
    state: str
    inode: str
    queued_bytes: int


def read_sockets():
    """Return the SocketLines of all TCP sockets of this network namespace (list)."""
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    return [_parse_socket(line.split()) for line in lines]


def _parse_socket(fields):
    sent, received = (int(part, 16) for part in fields[4].split(":"))
    return SocketLine(fields[1], fields[3], fields[9], sent + received)


def find_descriptors(pid):
    """Return what the open descriptors of a process refer to (list of str)."""
    folder = pathlib.Path(f"/proc/{pid}/fd")
    targets = []
    for path in folder.iterdir():
        try:
            targets.append(os.readlink(path))
        except FileNotFoundError:
            # Closed meanwhile.
            continue
    return targets


class ProcessWatch:
    """Samples a process until it is closed.

    Parameters
    ----------
    pid : int

    Attributes
    ----------
    kernel_bytes_max : int
        Most bytes that waited in the kernel's buffers of the process's sockets, with
        those of connections that it has not accepted yet.
    descriptor_count_max : int
        Most open descriptors.
    socket_count_max : int
        Most of them that are sockets or pipes.
    """

    def __init__(self, pid):
        self._pid = pid
        self.kernel_bytes_max = 0
        self.descriptor_count_max = 0
        self.socket_count_max = 0
        self._greenlet = gevent.spawn(self._run)

    def _run(self):
        while True:
            try:
                self._sample()
            except (FileNotFoundError, ProcessLookupError):
                return
            gevent.sleep(SAMPLE_PAUSE_S)

    def _sample(self):
        targets = find_descriptors(self._pid)
        shared = [item for item in targets if item.startswith(("socket:", "pipe:"))]
        self.descriptor_count_max = max(self.descriptor_count_max, len(targets))
        self.socket_count_max = max(self.socket_count_max, len(shared))
        inodes = {item.partition("[")[2].rstrip("]") for item in shared}
        sockets = read_sockets()
        listening = {
            item.local
            for item in sockets
            if item.state == LISTEN_STATE and item.inode in inodes
        }
        queued_bytes = sum(
            item.queued_bytes
            for item in sockets
            if item.state != LISTEN_STATE
            and (item.inode in inodes or (item.local in listening and _is_new(item)))
        )
        self.kernel_bytes_max = max(self.kernel_bytes_max, queued_bytes)

    @property
    def resident_peak_mb(self):
        """Return the peak of the resident memory (float)."""
        for line in pathlib.Path(f"/proc/{self._pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name == "VmHWM":
                return int(value.split()[0]) / 1024
        raise ValueError("the kernel states no peak")

    @property
    def memory_peak_mb(self):
        """Return the peak of resident memory and of the kernel's buffers (float)."""
        return self.resident_peak_mb + self.kernel_bytes_max / 1_048_576

    def __repr__(self):
        kernel_mb = self.kernel_bytes_max / 1_048_576
        return (
            f"{self.resident_peak_mb:.1f} MB resident, "
            f"{kernel_mb:.1f} MB in the kernel, "
            f"{self.descriptor_count_max} descriptors, {self.socket_count_max} sockets"
        )

    def close(self):
        """Stop sampling."""
        self._greenlet.kill()


def _is_new(item):
    """Return whether a socket belongs to no process yet."""
    return item.inode == "0"
