"""Writes the processes' logs from a thread of its own: a disk that is slow must not hold up the
driver, which is platform, endpoints and clients at once."""
import pathlib
import queue
import threading

END = None


class LogWriter:
    """Appends to any number of files, in the order of the calls; `close` waits for all of it."""

    def __init__(self) -> None:
        self._lines: queue.SimpleQueue[tuple[pathlib.Path, str] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def append(self, file: pathlib.Path, text: str) -> None:
        """Never waits for the disk."""
        self._lines.put((file, text))

    def close(self) -> None:
        """Nothing is appended any more."""
        self._lines.put(END)
        self._thread.join()

    def _run(self) -> None:
        files = {}
        while entry := self._lines.get():
            path, text = entry
            if path not in files:
                files[path] = path.open("a")
            files[path].write(text)
            if self._lines.empty():
                for file in files.values():
                    file.flush()
        for file in files.values():
            file.close()
