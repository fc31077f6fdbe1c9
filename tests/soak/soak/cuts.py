"""Who is cut off from whom: lines in the files of cuts that the processes read."""
from collections.abc import Iterable
from dataclasses import dataclass

from soak.deployment import INTERNAL_PORTS, Deployment, Machine, Role


@dataclass(frozen=True)
class Process:
    """One process, by its machine and its role."""

    machine: Machine
    role: Role

    @property
    def address(self) -> str:
        """Where the others reach it."""
        return f"{self.machine.ip}:{INTERNAL_PORTS[self.role]}"


class Cuts:
    """Puts lines into files of cuts and takes them out. The same line twice counts once."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    def between_machines(self, senders: Iterable[Machine], receivers: Iterable[Machine],
                         present: bool) -> None:
        """No byte of any of these senders reaches any of these receivers, whoever dialled."""
        receivers = list(receivers)
        for sender in senders:
            for receiver in receivers:
                for role in sender.roles:
                    self._change(Process(sender, role), f"to {receiver.ip}", present)
                for role in receiver.roles:
                    self._change(Process(receiver, role), f"from {sender.ip}", present)

    def between_processes(self, senders: Iterable[Process], receivers: Iterable[Process],
                          present: bool) -> None:
        """The same between processes: others on their machines are not cut."""
        receivers = list(receivers)
        for sender in senders:
            for receiver in receivers:
                self._change(sender, f"to {receiver.address}", present)
                self._change(receiver, f"from {sender.address}", present)

    def _change(self, process: Process, line: str, present: bool) -> None:
        file = self._deployment.cuts_file(process.machine, process.role)
        lines = set(file.read_text().splitlines()) - {line}
        if present:
            lines.add(line)
        new = file.with_suffix(".new")
        new.write_text("".join(f"{each}\n" for each in sorted(lines)))
        new.rename(file)
