"""The tier's processes: started, watched, signalled, and started again as the platform does it."""
import asyncio
import ctypes
import os
import pathlib
import resource
import shutil
import signal
import subprocess
import sys
from dataclasses import dataclass

from soak.deployment import BOUNDS, Deployment, Machine, Role
from soak.history import History, LogFinding, ProcessEnd
from soak.log_writer import LogWriter

RESTART_DELAY_S = 0.3
PR_SET_PDEATHSIG = 1
LONGEST_LINE = 1024 * 1024
SUSPICIOUS = ("violated:", "Sanitizer:", "runtime error:")
UNLIMITED = resource.RLIM_INFINITY


@dataclass(frozen=True)
class Programs:
    """How each role is started."""

    folder: pathlib.Path
    plain: bool  # The product's binaries, which cannot be cut off.

    def command(self, role: Role) -> list[str]:
        """The program of a role and its arguments."""
        if not self.plain:
            return [str(self.folder / "tests/tier/soak/soak_node"), role.value]
        name = "shelflink-data" if role is Role.PROXY else "shelflink-control"
        return [str(self.folder / name), role.value]


def end_with_parent() -> None:
    """In a child before its program: it dies with the driver, whatever ends that."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process of the tier through all its lives."""

    def __init__(self, deployment: Deployment, machine: Machine, role: Role, programs: Programs,
                 history: History, logs: LogWriter) -> None:
        self.machine = machine
        self.role = role
        self.name = f"{machine.name}.{role.value}"
        self._deployment = deployment
        self._programs = programs
        self._history = history
        self._logs = logs
        self._log = deployment.folder / f"{self.name}.log"
        self._child: asyncio.subprocess.Process | None = None
        self._killed = False  # By the soak, in this life.
        self._told_to_end = False
        self._held_down = 0  # Troubles that keep it from being started.
        self._file_limit = UNLIMITED
        self._stopping = False
        self._lives = 0

    async def run(self) -> None:
        """Starts it again and again until `stop`."""
        while not self._stopping:
            while self._held_down:
                await asyncio.sleep(0.05)
            await self._live()
            await asyncio.sleep(RESTART_DELAY_S)

    async def stop(self) -> None:
        """Ends it for good and waits until it is gone."""
        self._stopping = True
        self.kill()
        if self._child:
            await self._child.wait()

    def kill(self) -> None:
        """SIGKILL."""
        self._killed = True
        self._signal(signal.SIGKILL)

    def freeze(self) -> None:
        """SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """SIGCONT."""
        self._signal(signal.SIGCONT)

    async def terminate(self) -> None:
        """SIGTERM, and SIGKILL after the grace that the settings promise."""
        child = self._child
        if child is None:
            return
        self._told_to_end = True
        self._signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(child.wait(), BOUNDS.grace)
        except asyncio.TimeoutError:
            if child is self._child:
                self.kill()

    def hold_down(self) -> None:
        """Not started again until `release`."""
        self._held_down += 1

    def release(self) -> None:
        """Ends one `hold_down`."""
        self._held_down -= 1

    def fill_disk(self, growth_only: bool) -> None:
        """No file grows any more, or none takes a byte, in this life and the next ones."""
        sizes = [file.stat().st_size for file in self._files()] if growth_only else []
        self._limit_files(max(sizes, default=0))

    def free_disk(self) -> None:
        """Files grow again."""
        self._limit_files(UNLIMITED)

    def wipe_disk(self) -> None:
        """Empties the disk; the process must be down."""
        folder = self._deployment.data_folder(self.machine)
        shutil.rmtree(folder)
        folder.mkdir()

    def _files(self) -> list[pathlib.Path]:
        folder = self._deployment.data_folder(self.machine)
        return [file for file in folder.rglob("*") if file.is_file()]

    def _limit_files(self, limit: int) -> None:
        self._file_limit = limit
        if self._child and self._child.returncode is None:
            resource.prlimit(self._child.pid, resource.RLIMIT_FSIZE, (limit, UNLIMITED))

    def _signal(self, number: signal.Signals) -> None:
        if self._child and self._child.returncode is None:
            self._child.send_signal(number)

    async def _live(self) -> None:
        self._deployment.write_settings(self.machine, self.role, bootstrap=self._lives == 0)
        self._lives += 1
        self._killed = self._told_to_end = False
        self._child = await self._start()
        if self._stopping:
            self.kill()
        if self._file_limit != UNLIMITED:
            self._limit_files(self._file_limit)
        await self._keep_output(self._child.stdout)
        self._note_end(await self._child.wait())

    async def _start(self) -> asyncio.subprocess.Process:
        # SIGXFSZ stays ignored, as Python has it, so that a write beyond the limit fails instead.
        # The output goes through a pipe: a file of it would fall under the limit as well.
        environment = {
            **os.environ,
            "SHELFLINK_CONFIG": str(self._deployment.settings_file(self.machine, self.role)),
            "SHELFLINK_SOAK_CUTS": str(self._deployment.cuts_file(self.machine, self.role)),
        }
        return await asyncio.create_subprocess_exec(
            *self._programs.command(self.role), env=environment, stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, limit=LONGEST_LINE,
            restore_signals=False, preexec_fn=end_with_parent)

    async def _keep_output(self, pipe: asyncio.StreamReader) -> None:
        while line := await pipe.readline():
            text = line.decode(errors="replace").rstrip()
            self._write(text)
            if any(word in text for word in SUSPICIOUS):
                self._history.log_findings.append(LogFinding(self.name, text))

    def _note_end(self, status: int) -> None:
        self._write(f"-- ended with status {status}")
        if self._killed or self._stopping or (self._told_to_end and status == 0):
            return
        end = ProcessEnd(self.name, self.machine.name, self._history.now(), status)
        self._history.ends.append(end)

    def _write(self, text: str) -> None:
        self._logs.append(self._log, f"{self._history.now():8.3f} {text}\n")


class Fleet:
    """All processes of a deployment."""

    def __init__(self, deployment: Deployment, programs: Programs, history: History) -> None:
        self._logs = LogWriter()
        self.processes = [Process(deployment, machine, role, programs, history, self._logs)
                          for machine in deployment.machines for role in machine.roles]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts and from now on restarts them."""
        self._tasks = [asyncio.create_task(process.run()) for process in self.processes]

    async def stop(self) -> None:
        """Ends all of them."""
        await asyncio.gather(*(process.stop() for process in self.processes))
        for task in self._tasks:
            task.cancel()
        for result in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(result, Exception):
                print(f"a process could not be run: {result!r}", file=sys.stderr)
        self._logs.close()

    def on(self, machine: Machine) -> list[Process]:
        """The processes of a machine."""
        return [process for process in self.processes if process.machine is machine]

    def of_role(self, role: Role) -> list[Process]:
        """The processes of a role."""
        return [process for process in self.processes if process.role is role]
