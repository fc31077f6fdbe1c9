"""Long days drawn from a seed: configuration changes without a pause, endpoints that leave all day, and
troubles that overlap. What needs many changes, or the same trouble on one machine after another, shows there."""
import random

from .days import Day, Kind

CHANGES_FROM_S = 2.0
CHANGE_GAP_S = 0.3
CHANGE_WAYS = ("timeout", "tenant", "idle", "weights")
LEAVING_FROM_S = 4.0
LEAVING_GAP_S = 8.0
LEAVING_KINDS = ("release", "scale_in")
FAULTS_FROM_S = 5.0
FAULT_GAP_S = (1.5, 4.5)
BEFORE_END_S = 3.0
# Drawn this many times as often as other kinds: one such trouble alone shows little, several in turn do.
WEIGHTS = {"disk_full": 6, "disk_stall": 3, "disk_slow": 2, "kill_leader": 3, "core_cut": 3, "node_kill": 2}
# Of the day as a whole, or of its end, not of a moment in it.
NOT_DRAWN = frozenset({"config_change", "config_race", *LEAVING_KINDS})
CLOSINGS = (
    {"kind": "power_off_all", "down_s": 1.0},
    {"kind": "kill_all", "down_s": 1.0},
    {"kind": "wipe_after_ack", "down_s": 1.0, "how": "all"},
)


def _changes(length_s: float) -> list[dict]:
    count = int((length_s - CHANGES_FROM_S - BEFORE_END_S) / CHANGE_GAP_S)
    return [
        {
            "at": round(CHANGES_FROM_S + number * CHANGE_GAP_S, 3),
            "kind": "config_change",
            "how": CHANGE_WAYS[number % len(CHANGE_WAYS)],
        }
        for number in range(count)
    ]


def _leavings(kinds: dict[str, Kind], length_s: float, draw: random.Random) -> list[dict]:
    leaving = [kinds[name] for name in LEAVING_KINDS if name in kinds]
    entries, at = [], LEAVING_FROM_S
    while leaving and at < length_s - BEFORE_END_S:
        entries.append(draw.choice(leaving).entry(round(at, 1), draw.randrange(8)))
        at += LEAVING_GAP_S
    return entries


def _faults(kinds: dict[str, Kind], length_s: float, draw: random.Random) -> list[tuple[Kind, dict]]:
    drawn = sorted(name for name in kinds if name not in NOT_DRAWN)
    weights = [WEIGHTS.get(name, 1) for name in drawn]
    struck, at = [], FAULTS_FROM_S
    while drawn and at < length_s - BEFORE_END_S:
        kind = kinds[draw.choices(drawn, weights)[0]]
        struck.append((kind, kind.entry(round(at, 1), draw.randrange(64))))
        at += draw.uniform(*FAULT_GAP_S)
    return struck


def long_day(kinds: list[Kind], length_s: float, seed: int) -> Day:
    """The long day of `seed`: the same for the same kinds and length."""
    draw = random.Random(seed)
    by_name = {kind.name: kind for kind in kinds}
    struck = _faults(by_name, length_s, draw)
    plan = _changes(length_s) if "config_change" in by_name else []
    leaving = _leavings(by_name, length_s, draw)
    planned = [entry for entry in leaving if by_name[entry["kind"]].part == "plan"]
    faults = [entry for entry in leaving if by_name[entry["kind"]].part == "faults"]
    planned += [entry for kind, entry in struck if kind.part == "plan"]
    faults += [entry for kind, entry in struck if kind.part == "faults"]
    return Day(
        name=f"long-{seed}",
        plan=tuple(sorted(plan + planned, key=lambda entry: entry["at"])),
        faults=tuple(sorted(faults, key=lambda entry: entry["at"])),
        closing=draw.choice(CLOSINGS),
    )
