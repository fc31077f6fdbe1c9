"""The soak's plans of cuts and what it takes from the processes' figures."""
import pathlib
import sys
import tempfile
import unittest

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))

from soak.cut_plan import Others, Step, Struck, Ways, longest, read_plan  # noqa: E402
from soak.cuts import Cuts, Process  # noqa: E402
from soak.deployment import Deployment, Role  # noqa: E402
from soak.figures import age_of, core_state_of  # noqa: E402
from soak.log_writer import LogWriter  # noqa: E402

METRICS = """\
# TYPE shelflink_core_is_primary gauge
shelflink_core_is_primary 1
shelflink_core_record_member{node="a",part="replica"} 1
shelflink_core_record_member{node="b",part="replica"} 1
shelflink_core_record_member{node="c",part="witness"} 1
shelflink_endpoint_list_age_seconds 0.512
"""


class Plans(unittest.TestCase):
    def test_plan_is_read(self):
        with tempfile.NamedTemporaryFile("w+") as file:
            file.write("# none\n\nprimary cores from 0.5  # one\nbackup machines both 3\n")
            file.flush()
            self.assertEqual(read_plan(pathlib.Path(file.name)),
                             [Step(Struck.PRIMARY, Others.CORES, Ways.FROM, 0.5),
                              Step(Struck.BACKUP, Others.MACHINES, Ways.BOTH, 3.0)])

    def test_plans_of_the_tree_can_be_played(self):
        whole, short = read_plan(HERE / "cuts.plan"), read_plan(HERE / "cuts-short.plan")
        self.assertEqual({step.others for step in whole}, set(Others))
        self.assertEqual({step.ways for step in whole}, set(Ways))
        self.assertEqual({step.seconds for step in whole}, {0.5, 3.0, 10.0, 20.0, 30.0})
        self.assertLess(longest(short), 90.0)


class FilesOfCuts(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(20, pathlib.Path(folder.name), pathlib.Path(folder.name, "d"))
        self.deployment.make_folders()
        self.one, self.other = self.deployment.machines[:2]

    def lines(self, machine, role):
        return self.deployment.cuts_file(machine, role).read_text().splitlines()

    def test_machines(self):
        cuts = Cuts(self.deployment)
        cuts.between_machines([self.one], [self.other], present=True)
        for role in self.one.roles:
            self.assertEqual(self.lines(self.one, role), [f"to {self.other.ip}"])
            self.assertEqual(self.lines(self.other, role), [f"from {self.one.ip}"])
        cuts.between_machines([self.one], [self.other], present=False)
        self.assertEqual(self.lines(self.one, Role.CORE), [])

    def test_processes(self):
        cuts = Cuts(self.deployment)
        cuts.between_processes([Process(self.one, Role.CORE)], [Process(self.other, Role.PROXY)],
                               present=True)
        self.assertEqual(self.lines(self.one, Role.CORE), [f"to {self.other.ip}:7360"])
        self.assertEqual(self.lines(self.other, Role.PROXY), [f"from {self.one.ip}:7361"])
        self.assertEqual(self.lines(self.one, Role.PROXY), [])
        self.assertEqual(self.lines(self.other, Role.CORE), [])


class Logs(unittest.TestCase):
    def test_lines_stand_in_their_files_in_order(self):
        with tempfile.TemporaryDirectory() as folder:
            files = [pathlib.Path(folder, name) for name in "ab"]
            writer = LogWriter()
            for number in range(100):
                writer.append(files[number % 2], f"{number}\n")
            writer.close()
            self.assertEqual(files[1].read_text().split(), [str(n) for n in range(1, 100, 2)])


class Figures(unittest.TestCase):
    def test_age(self):
        self.assertEqual(age_of(METRICS), 0.512)
        self.assertIsNone(age_of("shelflink_ready 1\n"))

    def test_core_state(self):
        state = core_state_of("a", METRICS)
        self.assertTrue(state.is_primary)
        self.assertEqual(state.replicas, {"a", "b"})
        self.assertEqual(state.witnesses, {"c"})
        self.assertFalse(core_state_of("a", "shelflink_core_is_primary 0\n").is_primary)


if __name__ == "__main__":
    unittest.main()
