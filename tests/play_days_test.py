"""tools/play-days on a small site and journal written here, without the bench."""
import contextlib
import io
import json
import os
import pathlib
import sys
import tempfile
import tomllib
import unittest

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tools"))
from playdays import bench, cli, days, long_days, sites, table, toml_writer  # noqa: E402

SITE = """
name = "quay"
wire = "wire.json"
length_s = 30.0
zones = [{ name = "north", region = "bay" }, { name = "south", region = "bay" }]
machines = [
  { class = "front", zone = "north", count = 1, link_mbps = 100.0, disk = { mb = 64, sync_ms = 2 } },
  { class = "front", zone = "north", count = 3, link_mbps = 50.0 },
  { class = "front", zone = "south", count = 2, link_mbps = 50.0 },
  { class = "store", zone = "north", count = 2, link_mbps = 90.0, disk = { mb = 100, sync_ms = 3 } },
]
services = [{ name = "s", slots = 8, queue = 4, llm = { batch = 8 }, servers = [{ zone = "north", count = 4 }, { zone = "south", count = 2 }] }]
contracts = ["base", "batch"]
classes = [{ name = "live" }, { name = "late", lot = { run_aim_ms = 8000, items = { mean = 60.0, max = 150.0 } } }]
traffic = [{ zone = "north", per_s = 5.0 }, { zone = "south", per_s = 7.0 }]
[tolerate]
machines = 1
[bounds]
ack_ms = 4000
[cloud]
zone = "south"
[[day]]
name = "quiet-1"
slot = "quiet"
traffic = [{ zone = "north", per_s = 1.0 }]
[[day]]
name = "trouble-1"
slot = "trouble"
one = 0.8
small = { shrink = 2.0 }
plan = []
faults = [{ at = 1.0, kind = "burst", zone = "south" }]
traffic = [{ zone = "north", per_s = 3.0 }, { zone = "south", per_s = 4.0 }]
"""
KINDS_TEXT = """Each entry has 'at' and 'kind'. for_s: how long (5).
zone, to_zone: where.
'plan' holds planned work, 'faults' the rest.

burst: x times the traffic
core_cut: count (1) machines are cut off
hup: share (.3) get SIGHUP

these may come too:
retire: a store is emptied
"""
KINDS = [
    days.Kind("burst", "faults", {"x": 2.0}),
    days.Kind("core_cut", "faults", {"for_s": 5.0}, ({"how": "all"}, {"how": "near"})),
    days.Kind("hup", "plan"),
    days.Kind("retire", "plan"),
]


def variant(**edits) -> sites.Variant:
    return sites.Variant("edited", edits)


def count_of(site: dict, group: str) -> int:
    return sum(machine["count"] for machine in site["machines"] if sites.GROUPS[group](machine))


class SiteTest(unittest.TestCase):
    def setUp(self):
        self.site = tomllib.loads(SITE)

    def test_what_is_written_reads_the_same(self):
        self.assertEqual(tomllib.loads(toml_writer.dumps(self.site, ("day",))), self.site)

    def test_added_zones_are_like_the_first_ones(self):
        changed = sites.apply(self.site, variant(zones=3))
        names = [zone["name"] for zone in changed["zones"]]
        self.assertEqual(len(set(names)), 3)
        self.assertEqual(sum(machine["zone"] == names[2] for machine in changed["machines"]), 3)
        self.assertEqual(changed["services"][0]["servers"][2], {"zone": names[2], "count": 4})
        self.assertEqual([entry["zone"] for entry in changed["day"][1]["traffic"]], names)

    def test_zones_that_go_take_all_of_theirs_along(self):
        changed = sites.apply(self.site, variant(zones=1))
        self.assertNotIn("south", json.dumps(changed))

    def test_disks_are_dealt_over_the_zones(self):
        changed = sites.apply(self.site, variant(core_disks=5, stores=1, zones=2))
        self.assertEqual((count_of(changed, "core"), count_of(changed, "store")), (5, 1))
        cores = [machine for machine in changed["machines"] if sites.GROUPS["core"](machine)]
        self.assertEqual([(machine["zone"], machine["count"]) for machine in cores], [("north", 3), ("south", 2)])
        self.assertEqual(count_of(changed, "edge"), 5)

    def test_values_and_machines_are_set(self):
        edits = {"set": {"bounds.ack_ms": 5000}, "tolerance": 2, "machines": {"store": {"disk": {"sync_ms": 9}}}}
        changed = sites.apply(self.site, variant(**edits))
        self.assertEqual((changed["bounds"]["ack_ms"], changed["tolerate"]["machines"]), (5000, 2))
        self.assertEqual(changed["machines"][3]["disk"], {"mb": 100, "sync_ms": 9})
        self.assertEqual(self.site["machines"][3]["disk"]["sync_ms"], 3)

    def test_services_endpoints_and_lots_are_set(self):
        edits = {"services": {"slots": 16, "llm": {"batch": 16}}, "endpoints": 9, "lots": {"items": {"mean": 15.0}}}
        changed = sites.apply(self.site, variant(**edits))
        service = changed["services"][0]
        self.assertEqual((service["slots"], service["llm"], service["queue"]), (16, {"batch": 16}, 4))
        self.assertEqual([server["count"] for server in service["servers"]], [5, 4])
        self.assertEqual(changed["classes"][1]["lot"], {"run_aim_ms": 8000, "items": {"mean": 15.0, "max": 150.0}})
        self.assertEqual(self.site["services"][0]["slots"], 8)

    def test_tenants_come_and_go(self):
        changed = sites.apply(self.site, variant(tenants=5))
        self.assertEqual((changed["tenants"]["count"], changed["contracts"]), (5, ["base", "batch", "tenants"]))
        gone = sites.apply(changed, variant(tenants=0))
        self.assertEqual(("tenants" in gone, gone["contracts"]), (False, ["base", "batch"]))

    def test_edits_that_would_change_nothing_are_refused(self):
        for edits, text in (
            ({"services": {"seats": 1}}, "services: seats: expected a field of such a service"),
            ({"endpoints": 1}, "endpoints: 1: expected 2 or more, one a zone"),
            ({"lots": {"due": 1}}, "lots: due: expected a field of such a lot"),
            ({"set": {"bounds.ack": 1}}, "set: bounds.ack: expected a value of the site file"),
            ({"set": {"bound.ack_ms": 1}}, "set: bound.ack_ms: expected a value of the site file"),
            ({"machines": {"shop": {}}}, "machines: shop: expected one of core, edge, store"),
            ({"machines": {"edge": {"disks": 1}}}, "machines: edge: disks: expected a field of such a machine"),
            ({"zones": 0}, "zones: 0: expected 1 or more"),
        ):
            with self.subTest(text), self.assertRaisesRegex(sites.EditError, text):
                sites.apply(self.site, variant(**edits))

    def test_unknown_edits_are_named(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "variants.toml"
            path.write_text('[[variant]]\nname = "x"\nzone = 2\n')
            with self.assertRaisesRegex(sites.EditError, "variants.toml: variant 1: zone: expected one of"):
                sites.load_variants(path)


class DaysTest(unittest.TestCase):
    def test_kinds_are_read_from_the_benchs_text(self):
        self.assertEqual(days.kinds_of_site(KINDS_TEXT), ["burst", "core_cut", "hup", "retire"])

    def test_every_kind_comes_alone_twice_at_the_ends_and_in_pairs(self):
        made = {day.name: day for day in days.generated(KINDS, 30.0, 2)}
        for kind in KINDS:
            for way in range(len(kind.ways)):
                self.assertIn(f"alone-{kind.name}-{way + 1}", made)
            self.assertEqual(len((*made[f"twice-{kind.name}"].plan, *made[f"twice-{kind.name}"].faults)), 2)
            ends = made[f"ends-{kind.name}"]
            times = [entry["at"] for entry in (*ends.plan, *ends.faults)]
            self.assertLess(times[0], 1.0)
            self.assertTrue(29.0 < times[1] < 30.0)

    def test_with_half_as_many_partners_all_pairs_come_up_within_a_second(self):
        pairs = [day for day in days.generated(KINDS, 30.0, 2) if day.name.startswith("pair-")]
        met = {frozenset(day.kinds()) for day in pairs}
        self.assertEqual(len(met), 6)
        for day in pairs:
            times = [entry["at"] for entry in (*day.plan, *day.faults)]
            self.assertLess(max(times) - min(times), 1.0)

    def test_planned_kinds_stand_under_plan(self):
        day = next(day for day in days.generated(KINDS, 30.0, 1) if day.name == "alone-hup-1")
        self.assertEqual((len(day.plan), len(day.faults)), (1, 0))

    def test_a_day_takes_traffic_from_the_sites_day_of_trouble(self):
        site = tomllib.loads(SITE)
        day = days.for_site(days.Day("x", faults=({"at": 1.0, "kind": "burst"},)), site)
        self.assertEqual(day["traffic"], site["day"][1]["traffic"])
        self.assertEqual((day["slot"], day["one"]), ("trouble", 0.8))
        self.assertNotIn("small", day)
        self.assertEqual(day["seed"], days.seed_of("quay", "x"))

    def test_kinds_that_a_site_does_not_open_are_left_out(self):
        day = days.Day("x", plan=({"at": 1, "kind": "hup"},), faults=({"at": 2, "kind": "burst"},))
        self.assertEqual(days.on_site(day, {"hup"}).kinds(), {"hup"})

    def test_spread_takes_others_with_another_offset(self):
        made = days.generated(KINDS, 30.0, 2)
        first, second = (days.spread(made, 5, offset) for offset in (0, 1))
        self.assertEqual(len(first), 5)
        self.assertFalse({day.name for day in first} & {day.name for day in second})
        self.assertEqual(days.spread(made, 0, 0), made)

    def test_bad_days_are_named(self):
        for text, expected in (
            ('point = 6\nwhere = "core"', "point: expected a number from 1 to 5"),
            ('point = 1\nwhere = "shop"', "where: expected core or stores"),
            ('point = 1\nwhere = "core"\nfault = []', "fault: expected one of"),
            ('point = 1\nwhere = "core"\nfaults = [{ at = 1 }]', "faults: entry 1: expected at"),
        ):
            with self.subTest(expected), tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "day.toml"
                path.write_text(text)
                with self.assertRaisesRegex(days.DayError, expected):
                    days.load_day(path)


class LongDaysTest(unittest.TestCase):
    KINDS = [
        days.Kind("config_change", "plan", {}, ({"how": "timeout"},)),
        days.Kind("release", "plan", {"share": 0.4}),
        days.Kind("disk_full", "faults", {"for_s": 5.0}, ({"on": "core"}, {"on": "store"})),
        days.Kind("kill_leader", "faults", {"for_s": 3.5}),
    ]

    def test_a_seed_is_one_day(self):
        self.assertEqual(long_days.long_day(self.KINDS, 90.0, 3), long_days.long_day(self.KINDS, 90.0, 3))
        self.assertNotEqual(long_days.long_day(self.KINDS, 90.0, 3), long_days.long_day(self.KINDS, 90.0, 4))

    def test_changes_come_without_a_pause_and_endpoints_leave_all_day(self):
        day = long_days.long_day(self.KINDS, 92.0, 1)
        changes = [entry["at"] for entry in day.plan if entry["kind"] == "config_change"]
        self.assertGreater(len(changes), 250)
        self.assertLess(max(later - earlier for earlier, later in zip(changes, changes[1:])), 0.5)
        leavings = [entry["at"] for entry in day.plan if entry["kind"] == "release"]
        self.assertGreaterEqual(len(leavings), 10)

    def test_troubles_overlap_and_come_more_than_once(self):
        day = long_days.long_day(self.KINDS, 92.0, 1)
        overlapping = [
            (one, other) for one, other in zip(day.faults, day.faults[1:]) if other["at"] < one["at"] + one["for_s"]
        ]
        self.assertGreater(len(overlapping), len(day.faults) // 2)
        full = [entry for entry in day.faults if entry["kind"] == "disk_full" and entry["on"] == "core"]
        self.assertGreater(len(full), 1)

    def test_kinds_that_a_site_does_not_open_are_not_drawn(self):
        day = long_days.long_day(self.KINDS[2:3], 92.0, 1)
        self.assertEqual(day.kinds(), {"disk_full"})


class OwnFilesTest(unittest.TestCase):
    """What stands in deploy/."""

    def test_each_point_has_three_days_on_the_core_and_three_on_the_stores(self):
        listed = days.load_kinds(ROOT / "deploy/days/kinds.toml")
        written = [days.load_day(path) for path in (ROOT / "deploy/days").glob("*.toml") if path.name != "kinds.toml"]
        for point in range(1, 6):
            for where in (days.CORE, days.STORES):
                found = [day for day in written if (day.point, day.where) == (point, where)]
                self.assertGreaterEqual(len(found), 3, f"point {point}, {where}")
        for day in written:
            self.assertLessEqual(day.kinds(), set(listed), day.name)
            for part in ("plan", "faults"):
                for entry in getattr(day, part):
                    self.assertEqual(listed[entry["kind"]].part, part, f"{day.name}: {entry['kind']}")

    def test_variants_cover_what_they_have_to(self):
        variants = sites.load_variants(ROOT / "deploy/sites/variants.toml")
        self.assertEqual({entry.edits.get("zones") for entry in variants} - {None}, {2, 3, 4, 5})
        cores = {entry.edits.get("core_disks") for entry in variants} - {None}
        self.assertEqual((min(cores), max(cores)), (3, 9))
        self.assertIn(2, {entry.edits.get("tolerance") for entry in variants})
        site = tomllib.loads(SITE)
        for entry in variants:
            self.assertEqual(len(entry.edits.get("name")) > 0, True)
            if not {"set", "machines"} & set(entry.edits):
                sites.apply(site, entry)


def played(name: str, **fields) -> dict:
    return {"name": name, "rules": {}, "prices": [], "gate": True, "fault": None, "score": 0.5, "troubles": ["burst"]} | fields


class TableTest(unittest.TestCase):
    def play(self, *entries: dict, error: str = "") -> bench.Play:
        return bench.Play("quay", "score", tuple(bench.read_day(entry) for entry in entries), "x.json", 1.0, "", error)

    def test_broken_rules_own_exits_and_gates_are_counted(self):
        play = self.play(
            played("a", rules={"LOST": 2}, gate=False),
            played("b", prices=[["exits of its own", 3.0, 0.1]]),
            played("c", rules={"LOST": 1, "TWICE": 0}),
        )
        row = table.rows([play])[0]
        self.assertEqual(row.cells(), ("quay", "score", "3", "LOST on 2", "3", "1"))
        self.assertFalse(row.is_clean())
        self.assertEqual(
            table.describe("quay", play.days[0]), "quay: a: LOST broken (2), gate failed (score 0.50)"
        )

    def test_a_play_that_failed_or_played_nothing_is_not_clean(self):
        self.assertTrue(table.rows([self.play(played("a"))])[0].is_clean())
        self.assertFalse(table.rows([self.play()])[0].is_clean())
        self.assertFalse(table.rows([self.play(played("a"), error="given up")])[0].is_clean())
        self.assertFalse(table.rows([self.play(played("a", fault="too long"))])[0].is_clean())

    def test_plays_of_one_kind_on_one_site_share_a_row(self):
        rows = table.rows([self.play(played("a")), self.play(played("b"))])
        self.assertEqual([len(row.days) for row in rows], [2])

    def test_kinds_never_played_are_named(self):
        self.assertEqual(table.never_played({"burst", "hup"}, [self.play(played("a"))]), ["hup"])


class EntryTest(unittest.TestCase):
    def test_an_entry_of_the_journal_is_a_play(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "x.json"
            path.write_text(json.dumps({"cmd": "hunt", "site": "quay", "days": [played("a", wall_s=2.5)]}))
            play = bench.play_of(path)
            self.assertEqual((play.site, play.verb, play.seconds, play.error), ("quay", "hunt", 2.5, ""))
            path.write_text(json.dumps({"cmd": "hunt", "site": "quay", "error": None, "days": []}))
            self.assertEqual(bench.play_of(path).error, "no day was played")


FAKE_BENCH = """#!/usr/bin/env python3
import json, pathlib, sys, tomllib
verb, site = sys.argv[1:3]
if verb == "kinds":
    print("burst: x\\nhup: y")
    raise SystemExit
names = [day["name"] for day in tomllib.loads(pathlib.Path(site).read_text())["day"]] if verb == "score" else ["h"]
day = {"rules": {}, "prices": [["exits of its own", EXITS, 0]], "gate": True, "score": 0.5}
days = [{"name": name, "troubles": [name.split("-")[1]] if "-" in name else [], **day} for name in names]
entry = {"cmd": verb, "argv": sys.argv[2:], "days": days}
number = len(list(pathlib.Path("journal").glob("*.json")))
pathlib.Path(f"journal/{number}-{verb}.json").write_text(json.dumps(entry))
"""


class CommandLineTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "journal").mkdir()
        (self.folder / "quay.toml").write_text(SITE)
        (self.folder / "wire.json").write_text("{}")
        (self.folder / "days").mkdir()
        (self.folder / "days" / "kinds.toml").write_text('[[kind]]\nkind = "hup"\npart = "plan"\n')
        self.addCleanup(os.chdir, os.getcwd())
        os.chdir(self.folder)

    def call(self, exits: int, *words: str) -> tuple[int, str]:
        program = self.folder / "bench"
        program.write_text(FAKE_BENCH.replace("EXITS", str(exits)))
        program.chmod(0o755)
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            status = cli.main(["bench", "quay.toml", "--days", "days", *words])
        return status, output.getvalue()

    def test_days_and_hunts_make_a_table(self):
        status, text = self.call(0, "--play", "kinds,hunt")
        self.assertEqual(status, 0, text)
        self.assertIn("| quay | hunt | 1 | none | 0 | 0 |", text)
        self.assertIn("kinds never played: none", text)

    def test_an_exit_of_our_own_fails(self):
        status, text = self.call(1, "--play", "hunt")
        self.assertEqual(status, 1)
        self.assertIn("quay: h: 1 exits of our own", text)

    def test_bad_input_is_named(self):
        (self.folder / "days" / "bad.toml").write_text("point = 9\n")
        status, text = self.call(0, "--play", "days")
        self.assertEqual(status, 2)
        self.assertIn("bad.toml: point: expected a number from 1 to 5", text)

    def test_variants_play_what_they_are_told_to(self):
        (self.folder / "variants.toml").write_text(
            '[[variant]]\nname = "three-stores"\nstores = 3\n[[variant]]\nname = "one-zone"\nzones = 1\n'
        )
        words = ("--variants", "variants.toml", "--variant", "three", "--on-variants", "kinds,long,hunt")
        status, text = self.call(0, "--play", "variants", *words)
        self.assertEqual(status, 0, text)
        self.assertIn("| quay-three-stores | hunt | 1 | none | 0 | 0 |", text)
        self.assertRegex(text, r"\| quay-three-stores \| score \| \d+ \| none \| 0 \| 0 \|")
        self.assertNotIn("one-zone", text)
        self.assertNotIn("| quay |", text)
        self.call(0, "--play", "variants", *words, "--write", "out")
        for part, name in (("days", "alone-hup-1"), ("long", "long-1")):
            written = tomllib.loads((self.folder / "out/variants" / part / "quay-three-stores.toml").read_text())
            self.assertIn(name, [day["name"] for day in written["day"]])

    def test_only_writing_plays_nothing(self):
        status, _ = self.call(0, "--play", "kinds,hunt", "--write", "out")
        self.assertEqual(status, 0)
        self.assertEqual(list((self.folder / "journal").iterdir()), [])
        written = tomllib.loads((self.folder / "out/days/quay.toml").read_text())
        self.assertIn("alone-hup-1", [day["name"] for day in written["day"]])


if __name__ == "__main__":
    unittest.main()
