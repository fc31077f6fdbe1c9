"""A process that writes and syncs beside the machines' disks, so that their own syncs take long."""
import os
import pathlib
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

from soak.processes import end_with_parent

CHUNK_BYTES = 1 << 20
PAUSE_S = 0.2
FILE = "load"


@contextmanager
def disk_load(folder: pathlib.Path, megabytes: int) -> Iterator[None]:
    """Bursts of so many megabytes, each synced, in `folder` while the context lasts; 0: none."""
    if not megabytes:
        yield
        return
    command = [sys.executable, __file__, str(folder), str(megabytes)]
    environment = {**os.environ, "PYTHONPATH": str(pathlib.Path(__file__).parent.parent)}
    with subprocess.Popen(command, env=environment, preexec_fn=end_with_parent) as writer:
        try:
            yield
        finally:
            writer.kill()


def write_bursts(folder: pathlib.Path, megabytes: int) -> None:
    """For ever; each burst in the same file, from its start."""
    chunk = os.urandom(CHUNK_BYTES)
    with (folder / FILE).open("wb", buffering=0) as file:
        while True:
            file.seek(0)
            file.truncate()
            for _ in range(megabytes):
                file.write(chunk)
            os.fsync(file.fileno())
            time.sleep(PAUSE_S)


if __name__ == "__main__":
    write_bursts(pathlib.Path(sys.argv[1]), int(sys.argv[2]))
