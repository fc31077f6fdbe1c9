"""The gate over known red tests, with a ctest of its own making."""
import os
import pathlib
import subprocess
import sys
import tempfile
import textwrap
import unittest

GATE = pathlib.Path(__file__).resolve().parent / "ctest_gate"


class Gate(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        self.red = self.root / "KNOWN-RED.txt"
        self.failing = set()
        # Lists and runs three tests by the options that the gate gives; keeps what it was asked.
        self.ctest = self.root / "ctest"
        self.ctest.write_text(textwrap.dedent(f"""\
            #!{sys.executable}
            import json, os, re, sys
            tests = ["A.One", "A.Two/x-1", "B.Three"]
            failing = os.environ["FAILING"].split()
            words = sys.argv[1:]
            if "--show-only=json-v1" in words:
                print(json.dumps({{"tests": [{{"name": t}} for t in tests]}}))
                sys.exit(0)
            def having(option, default):
                return words[words.index(option) + 1] if option in words else default
            runs = [t for t in tests if re.search(having("-R", "."), t)]
            if "-E" in words:
                runs = [t for t in runs if not re.search(having("-E", "."), t)]
            print("ran", " ".join(runs), flush=True)
            sys.exit(8 if set(runs) & set(failing) else 0)
            """))
        self.ctest.chmod(0o755)

    def play(self):
        env = dict(os.environ, CTEST=str(self.ctest), FAILING=" ".join(self.failing))
        return subprocess.run([sys.executable, str(GATE), "build", str(self.red), "-j2"], env=env,
                              capture_output=True, text=True, check=False)

    def test_without_a_file_all_tests_are_the_gate(self):
        result = self.play()
        self.assertEqual((result.returncode, result.stdout), (0, "ran A.One A.Two/x-1 B.Three\n"))
        self.failing = {"B.Three"}
        self.assertEqual(self.play().returncode, 8)

    def test_a_red_test_is_run_apart_and_told_and_the_others_are_the_gate(self):
        self.red.write_text("A.Two/x-1; a cause; issue 7\n")
        self.failing = {"A.Two/x-1"}
        result = self.play()
        self.assertEqual(result.returncode, 0)
        self.assertEqual(result.stdout, "ran A.Two/x-1\nknown red: A.Two/x-1: fails: a cause "
                         "(issue 7)\nran A.One B.Three\n")
        self.failing = {"A.Two/x-1", "A.One"}
        self.assertEqual(self.play().returncode, 8)

    def test_one_that_passes_is_told(self):
        self.red.write_text("A.One; a cause; issue 7\n")
        result = self.play()
        self.assertEqual(result.returncode, 0)
        self.assertIn("known red: A.One: PASSES NOW: take its line out", result.stdout)

    def refused(self, text, expected):
        self.red.write_text(text)
        result = self.play()
        self.assertEqual((result.returncode, result.stdout), (2, ""))
        self.assertEqual(result.stderr, f"ctest_gate: {self.red}{expected}\n")

    def test_refuses_what_it_cannot_use(self):
        line = "A.One; a cause; issue 7\n"
        self.refused(line * 4, ": 4 lines; expected 3 at most")
        self.refused(line * 2, ":2: A.One is named twice; expected once")
        self.refused("A.One; a cause\n", ":1: expected 'TEST; cause; issue N', got 'A.One; a cause'")
        self.refused("A.One; ; issue 7\n",
                     ":1: expected 'TEST; cause; issue N', got 'A.One; ; issue 7'")
        self.refused("A.One; a cause; soon\n",
                     ":1: expected 'TEST; cause; issue N', got 'A.One; a cause; soon'")
        self.refused("A.On; a cause; issue 7\n", ": A.On: expected the name of a test")


if __name__ == "__main__":
    unittest.main()
