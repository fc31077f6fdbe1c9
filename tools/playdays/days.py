"""Days of trouble: those written by hand, and those made from the list of kinds."""
import copy
import dataclasses
import pathlib
import re
import tomllib
import zlib

SEED_RANGE = 1 << 31
ENTRY_PARTS = ("plan", "faults")
CORE = "core"
STORES = "stores"
DAY_KEYS = {"name", "point", "where", "why", "closing", *ENTRY_PARTS}
KIND_KEYS = {"kind", "part", "fields", "ways"}
MODEL_KEYS = ("slot", "one", "zero", "goal", "floor_classes", "floor_zones", "labels", "wall", "light")

ALONE_AT_S = 10.0
TWICE_AT_S = (7.0, 17.0)
PAIR_AT_S = 12.0
PAIR_GAP_S = 0.6
FIRST_AT_S = 0.3
BEFORE_END_S = 0.7


class DayError(ValueError):
    """A day or a list of kinds that can't be used; the message names the place and what was expected."""


@dataclasses.dataclass(frozen=True)
class Day:
    """One day: its name and the troubles of it, without the traffic, which the site gives."""

    name: str
    plan: tuple = ()
    faults: tuple = ()
    closing: dict | None = None
    point: int = 0
    where: str = ""

    def kinds(self) -> set[str]:
        """The kinds of trouble that strike on this day."""
        return {entry["kind"] for entry in (*self.plan, *self.faults)}


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of trouble: the part of a day it belongs to and the ways in which it is brought about."""

    name: str
    part: str = "faults"
    fields: dict = dataclasses.field(default_factory=dict)
    ways: tuple = ({},)

    def entry(self, at: float, way: int = 0) -> dict:
        """An entry of this kind at `at` seconds from the start of traffic."""
        return {"at": at, "kind": self.name, **self.fields, **self.ways[way % len(self.ways)]}


def _check_keys(where: str, table: dict, known: set) -> None:
    unknown = sorted(set(table) - known)
    if unknown:
        raise DayError(f"{where}: {unknown[0]}: expected one of {', '.join(sorted(known))}")


def _check_entries(where: str, entries: list) -> None:
    for number, entry in enumerate(entries, start=1):
        if not isinstance(entry.get("at"), (int, float)) or not isinstance(entry.get("kind"), str):
            raise DayError(f"{where}: entry {number}: expected at (seconds) and kind")


def load_day(path: pathlib.Path) -> Day:
    """The day written in `path`."""
    with open(path, "rb") as file:
        table = tomllib.load(file)
    _check_keys(str(path), table, DAY_KEYS)
    for part in ENTRY_PARTS:
        _check_entries(f"{path}: {part}", table.get(part, []))
    if table.get("point") not in range(1, 6):
        raise DayError(f"{path}: point: expected a number from 1 to 5")
    if table.get("where") not in (CORE, STORES):
        raise DayError(f"{path}: where: expected {CORE} or {STORES}")
    return Day(
        name=path.stem,
        plan=tuple(table.get("plan", [])),
        faults=tuple(table.get("faults", [])),
        closing=table.get("closing"),
        point=table["point"],
        where=table["where"],
    )


def load_kinds(path: pathlib.Path) -> dict[str, Kind]:
    """The list of kinds in `path`, by name."""
    with open(path, "rb") as file:
        entries = tomllib.load(file).get("kind", [])
    kinds = {}
    for number, entry in enumerate(entries, start=1):
        where = f"{path}: kind {number}"
        _check_keys(where, entry, KIND_KEYS)
        name, part = entry.get("kind"), entry.get("part", "faults")
        if not isinstance(name, str):
            raise DayError(f"{where}: kind: expected a string")
        if part not in ENTRY_PARTS:
            raise DayError(f"{where}: part: expected one of {', '.join(ENTRY_PARTS)}")
        kinds[name] = Kind(name, part, entry.get("fields", {}), tuple(entry.get("ways", [{}])) or ({},))
    return kinds


def kinds_of_site(text: str) -> list[str]:
    """The kinds that the bench names for a site, from what its verb `kinds` prints."""
    names = re.findall(r"^([a-z_]+): ", text, re.MULTILINE)
    return [name for name in names if name not in ("zone", "plan")]


def _day(name: str, struck: list[tuple[Kind, dict]]) -> Day:
    parts = {part: tuple(entry for kind, entry in struck if kind.part == part) for part in ENTRY_PARTS}
    return Day(name=name, plan=parts["plan"], faults=parts["faults"])


def _alone(kind: Kind) -> list[Day]:
    return [
        _day(f"alone-{kind.name}-{way + 1}", [(kind, kind.entry(ALONE_AT_S, way))])
        for way in range(len(kind.ways))
    ]


def _twice(kind: Kind, number: int) -> Day:
    struck = [(kind, kind.entry(at, number + turn)) for turn, at in enumerate(TWICE_AT_S)]
    return _day(f"twice-{kind.name}", struck)


def _at_the_ends(kind: Kind, number: int, length_s: float) -> Day:
    times = (FIRST_AT_S, length_s - BEFORE_END_S)
    struck = [(kind, kind.entry(at, number + turn)) for turn, at in enumerate(times)]
    return _day(f"ends-{kind.name}", struck)


def _pair(first: Kind, second: Kind, number: int) -> Day:
    struck = [(first, first.entry(PAIR_AT_S, number)), (second, second.entry(PAIR_AT_S + PAIR_GAP_S, number))]
    return _day(f"pair-{first.name}-{second.name}", struck)


def _pairs(kinds: list[Kind], partners: int) -> list[Day]:
    """Each kind with `partners` others, as far apart in the list as that leaves; with half as many partners
    as there are kinds, all pairs come up."""
    farthest = len(kinds) // 2
    wanted = min(partners, farthest)
    steps = [1 + number * farthest // wanted for number in range(wanted)]
    return [
        _pair(kind, kinds[(number + step) % len(kinds)], number + step)
        for step in steps
        for number, kind in enumerate(kinds)
    ]


def generated(kinds: list[Kind], length_s: float, partners: int) -> list[Day]:
    """For each kind: alone in each of its ways, twice in one day, at the first and the last second, and
    within a second of others."""
    days = []
    for number, kind in enumerate(kinds):
        days += _alone(kind)
        days.append(_twice(kind, number))
        days.append(_at_the_ends(kind, number, length_s))
    return days + _pairs(kinds, partners)


def seed_of(site_name: str, day_name: str) -> int:
    """A seed that is the same each time for one day on one site."""
    return zlib.crc32(f"{site_name}/{day_name}".encode()) % SEED_RANGE


def on_site(day: Day, known: set[str]) -> Day:
    """`day` without the kinds that the site's contracts don't open."""
    kept = {part: tuple(entry for entry in getattr(day, part) if entry["kind"] in known) for part in ENTRY_PARTS}
    return dataclasses.replace(day, **kept)


def for_site(day: Day, site: dict) -> dict:
    """`day` as a [[day]] of `site`: its traffic, and what is expected of a day of trouble, from there."""
    models = site.get("day", [])
    model = next((entry for entry in models if entry.get("slot") == "trouble"), models[0] if models else {})
    table = {"name": day.name, "seed": seed_of(site["name"], day.name)}
    table |= {key: copy.deepcopy(model[key]) for key in MODEL_KEYS if key in model}
    if day.closing:
        table["closing"] = day.closing
    table["plan"] = list(day.plan)
    table["faults"] = list(day.faults)
    table["traffic"] = copy.deepcopy(model.get("traffic", site["traffic"]))
    return table


def spread(days: list[Day], most: int, offset: int) -> list[Day]:
    """At most `most` of `days`, evenly spread; another `offset` takes others."""
    if most <= 0 or most >= len(days):
        return days
    step = len(days) / most
    start = offset % max(1, int(step))
    return [days[int(number * step) + start] for number in range(most) if int(number * step) + start < len(days)]
