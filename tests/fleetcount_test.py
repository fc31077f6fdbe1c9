"""tools/fleetcount on two small traces, whose counts are known."""
import importlib.machinery
import importlib.util
import pathlib
import tempfile
import unittest

TOOL = pathlib.Path(__file__).parent.parent / "tools" / "fleetcount"
loader = importlib.machinery.SourceFileLoader("fleetcount", str(TOOL))
fleetcount = importlib.util.module_from_spec(importlib.util.spec_from_loader("fleetcount", loader))
loader.exec_module(fleetcount)

FIRST = """0.0 kelpspring: trace 1000000 start n0 tier 0 number 0 of 2
0.0 kelpspring: trace 1000100 ask /catalog/members?after=0
0.1 kelpspring: trace 1100000 request 7 tier 0 level 1 left 900000
0.1 kelpspring: trace 1100000 send 7 0 to a age -1
0.1 kelpspring: trace 1100000 connect 10.0.0.1:3000
some other line
1.2 kelpspring: trace 2200000 outcome 7 0 from a timeout after 1100000
1.2 kelpspring: trace 2200000 send 7 1 to b age 500000
1.3 kelpspring: trace 2300000 outcome 7 1 from b ok after 100000
"""
SECOND = """0.0 kelpspring: trace 1000000 start n1 tier 0 number 1 of 2
0.0 kelpspring: trace 1050000 ask /catalog/members?after=0
0.5 kelpspring: trace 1500000 refused 9
"""


class CountTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_counts_over_the_fleet(self):
        (self.folder / "n0.log").write_text(FIRST)
        (self.folder / "n1.log").write_text(SECOND)
        fleet = fleetcount.count(self.folder)[0]
        self.assertEqual(fleet.sidecars, 2)
        first, second = fleet.seconds[0], fleet.seconds[1]
        self.assertEqual((first["ask"], first["first"], first["connect"], first["refused"]), (2, 1, 1, 1))
        self.assertEqual((second["again"], second["young"], second["timeout"], second["ok"]), (1, 1, 1, 1))
        self.assertEqual(max(fleet.asks_within.values()), 2)
        self.assertEqual(fleet.held["a"], {0: 900000, 1: 200000})
        self.assertAlmostEqual(fleet.born["b"], 0.7)

    def test_no_trace_is_said(self):
        (self.folder / "n0.log").write_text("nothing here\n")
        with self.assertRaisesRegex(SystemExit, "expected logs with lines of a trace"):
            fleetcount.count(self.folder)


if __name__ == "__main__":
    unittest.main()
