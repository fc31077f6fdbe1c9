"""Runs the bench and reads what it wrote into the journal."""
import dataclasses
import json
import pathlib
import subprocess

JOURNAL = pathlib.Path("journal")
OWN_EXITS = "exits of its own"


class BenchError(RuntimeError):
    """The bench didn't play; the message holds the end of what it said."""


@dataclasses.dataclass(frozen=True)
class PlayedDay:
    """What a day came to."""

    name: str
    broken: dict
    own_exits: int
    passed: bool
    fault: str
    score: float
    kinds: frozenset = frozenset()

    def is_clean(self) -> bool:
        """Whether nothing of it has to be looked at."""
        return self.passed and not self.broken and not self.own_exits and not self.fault


@dataclasses.dataclass(frozen=True)
class Play:
    """One call of the bench: a site, the days played and how it ended."""

    site: str
    verb: str
    days: tuple
    entry: str
    seconds: float
    text: str
    error: str = ""


def _price(day: dict, name: str) -> float:
    return next((amount for label, amount, *_ in day.get("prices") or [] if label == name), 0)


def read_day(day: dict) -> PlayedDay:
    """A day of a journal entry."""
    return PlayedDay(
        name=str(day.get("name", "")),
        broken={rule: count for rule, count in (day.get("rules") or {}).items() if count},
        own_exits=round(_price(day, OWN_EXITS)),
        passed=bool(day.get("gate")),
        fault=str(day.get("fault") or ""),
        score=float(day.get("score") or 0),
        kinds=frozenset(day.get("troubles") or ()),
    )


def play_of(path: pathlib.Path, site: str = "", text: str = "") -> Play:
    """The play that the journal entry at `path` tells of."""
    entry = json.loads(path.read_text())
    days = entry.get("days") or []
    return Play(
        site=site or str(entry.get("site") or ""),
        verb=str(entry.get("cmd")),
        days=tuple(read_day(day) for day in days),
        entry=path.name,
        seconds=sum(float(day.get("wall_s") or 0) for day in days),
        text=text,
        error=str(entry.get("error") or ("" if days else "no day was played")),
    )


class Bench:
    """The bench's program, run in the repository."""

    def __init__(self, program: pathlib.Path, jobs: int, why: str):
        self._program = program.resolve()
        self._jobs = jobs
        self._why = why

    def kinds(self, site: pathlib.Path) -> str:
        """What the bench prints about the kinds of trouble of a site."""
        return self._call("kinds", str(site)).stdout

    def score(self, site: pathlib.Path, name: str) -> Play:
        """Plays all days that the site file holds, and one that the bench draws."""
        return self._play("score", site, name, [])

    def hunt(self, site: pathlib.Path, name: str, count: int) -> Play:
        """Plays `count` days with other seeds."""
        return self._play("hunt", site, name, ["--days", str(count)])

    def _call(self, *arguments: str) -> subprocess.CompletedProcess:
        command = [str(self._program), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def _play(self, verb: str, site: pathlib.Path, name: str, options: list[str]) -> Play:
        before = set(JOURNAL.glob("*.json"))
        played = self._call(verb, str(site), *options, "--jobs", str(self._jobs), "--why", f"{self._why}: {name}")
        text = played.stdout + played.stderr
        entries = [path for path in set(JOURNAL.glob("*.json")) - before if is_entry_of(path, verb, site)]
        if not entries:
            return Play(name, verb, (), "", 0, text, f"no journal entry; it said: {text.strip()[-300:]}")
        return play_of(max(entries), name, text)


def is_entry_of(path: pathlib.Path, verb: str, site: pathlib.Path) -> bool:
    """Whether the entry at `path` was left by `verb` on `site`: others may play at the same time."""
    entry = json.loads(path.read_text())
    names = [pathlib.Path(word).name for word in entry.get("argv") or []]
    return entry.get("cmd") == verb and site.name in names
