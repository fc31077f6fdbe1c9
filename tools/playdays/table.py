"""The table of what was played."""
import dataclasses

from .bench import Play, PlayedDay

HEADER = ("site", "played", "days", "rules broken", "exits of our own", "gate failed")


@dataclasses.dataclass(frozen=True)
class Row:
    """One line of the table: all plays of one kind on one site."""

    site: str
    verb: str
    days: tuple
    errors: tuple = ()

    def cells(self) -> tuple[str, ...]:
        """The cells, in the order of the header."""
        return (
            self.site,
            self.verb,
            str(len(self.days)),
            _rules(self.days),
            str(sum(day.own_exits for day in self.days)),
            str(sum(not day.passed for day in self.days)),
        )

    def is_clean(self) -> bool:
        """Whether all was played and nothing broke."""
        return bool(self.days) and not self.errors and all(day.is_clean() for day in self.days)


def _rules(days: tuple) -> str:
    counts = {}
    for day in days:
        for rule in day.broken:
            counts[rule] = counts.get(rule, 0) + 1
    return ", ".join(f"{rule} on {count}" for rule, count in sorted(counts.items())) or "none"


def rows(plays: list[Play]) -> list[Row]:
    """The plays, those of one site and verb together."""
    grouped = {}
    for play in plays:
        grouped.setdefault((play.site, play.verb), []).append(play)
    return [
        Row(site, verb, sum((play.days for play in group), ()), tuple(play.error for play in group if play.error))
        for (site, verb), group in grouped.items()
    ]


def render(table: list[Row]) -> str:
    """The table as Markdown."""
    lines = [HEADER, tuple("---" for _ in HEADER), *(row.cells() for row in table)]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def describe(site: str, day: PlayedDay) -> str:
    """One line about a day that has to be looked at."""
    found = [f"{rule} broken ({count})" for rule, count in sorted(day.broken.items())]
    if day.own_exits:
        found.append(f"{day.own_exits} exits of our own")
    if day.fault:
        found.append(f"fault: {day.fault}")
    if not day.passed:
        found.append("gate failed")
    return f"{site}: {day.name}: {', '.join(found)} (score {day.score:.2f})"


def never_played(known: set[str], plays: list[Play]) -> list[str]:
    """The kinds that no day of the plays had."""
    seen = {kind for play in plays for day in play.days for kind in day.kinds}
    return sorted(known - seen)


def report(plays: list[Play]) -> bool:
    """Prints the table and a line for each day that has to be looked at; whether there was none."""
    grouped = rows(plays)
    print(render(grouped))
    for play in plays:
        for day in play.days:
            if not day.is_clean():
                print(describe(play.site, day))
        if play.error:
            print(f"{play.site}: {play.verb}: {play.error}")
    return all(row.is_clean() for row in grouped)
