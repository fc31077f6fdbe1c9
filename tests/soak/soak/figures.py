"""What the tier's processes tell of themselves meanwhile: how old each one's list of endpoints is."""
import asyncio
import re
from dataclasses import dataclass

from soak.deployment import CONTROL_PORT, READY_PORT, Deployment, Machine, Role
from soak.history import History, ListAge
from soak.http import Call, perform

PERIOD_S = 0.25
PATIENCE_S = 1.0
AGE = "shelflink_endpoint_list_age_seconds"
PORTS = {Role.PROXY: READY_PORT, Role.CORE: CONTROL_PORT}


def age_of(text: str) -> float | None:
    """The list's age in an answer to GET /metrics; None: the process does not know it."""
    for line in text.splitlines():
        name, _, value = line.partition(" ")
        if name.partition("{")[0] == AGE:
            return float(value)
    return None


@dataclass(frozen=True)
class CoreState:
    """What a core process tells of its record."""

    node: str
    is_primary: bool
    replicas: frozenset[str]
    witnesses: frozenset[str]


def core_state_of(node: str, text: str) -> CoreState:
    """From its answer to GET /metrics."""
    named = re.findall(r'^shelflink_core_record_member\{([^}]*)\}', text, re.MULTILINE)
    labels = [dict(re.findall(r'(\w+)="([^"]*)"', each)) for each in named]
    parts = {part: frozenset(each["node"] for each in labels if each["part"] == part)
             for part in ("replica", "witness")}
    is_primary = re.search(r"^shelflink_core_is_primary(\{[^}]*\})? 1\b", text, re.MULTILINE)
    return CoreState(node, is_primary is not None, parts["replica"], parts["witness"])


async def metrics_of(machine: Machine, role: Role) -> str | None:
    """A process's figures; None where it does not tell them."""
    answer = await perform(Call(machine.ip, PORTS[role], "GET", "/metrics", {"Host": machine.ip},
                                timeout=PATIENCE_S))
    return answer.body.decode() if answer.complete and answer.status == 200 else None


async def core_state(machine: Machine) -> CoreState | None:
    """What the machine's core process tells; None where it tells nothing."""
    text = await metrics_of(machine, Role.CORE)
    return None if text is None else core_state_of(machine.name, text)


class Figures:
    """Asks each proxy and each core process every quarter of a second, into the history."""

    def __init__(self, deployment: Deployment, history: History) -> None:
        self._history = history
        self._asked = [(machine, role) for role in PORTS for machine in deployment.of_role(role)]

    async def run(self) -> None:
        """Until it is cancelled."""
        await asyncio.gather(*(self._watch(machine, role) for machine, role in self._asked))

    async def _watch(self, machine: Machine, role: Role) -> None:
        while True:
            await asyncio.gather(asyncio.sleep(PERIOD_S), self._ask(machine, role))

    async def _ask(self, machine: Machine, role: Role) -> None:
        text = await metrics_of(machine, role)
        self._history.list_ages.append(ListAge(machine.name, role.value, self._history.now(),
                                               text is not None, age_of(text or "")))


def text_in_order(lines: list[tuple[float, str]]) -> str:
    """Texts with their seconds, by these."""
    return "".join(f"{at:8.3f} {text}\n" for at, text in sorted(lines))


def text_of(history: History) -> str:
    """A line for each answer, and for each moment in which the driver itself was late."""
    lines = [(each.at, f"{each.machine}.{each.role} list " + (
        "not told" if not each.answered else
        "of unknown age" if each.age is None else f"read {each.age * 1000:.0f} ms ago"))
             for each in history.list_ages]
    lines += [(each.at, f"the driver is late by {each.by * 1000:.0f} ms") for each in history.lags]
    return text_in_order(lines)
