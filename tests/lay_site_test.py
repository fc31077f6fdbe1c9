"""The script that lays the kit's files beside a site: what it copies, and what it says of bad input."""
import pathlib
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = ("real.json", "wire.json", "unlock.txt")


def lay(*words):
    return subprocess.run(["bash", str(ROOT / "tools" / "lay-site"), *map(str, words)],
                          capture_output=True, text=True, check=False)


class LaySite(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.kit = pathlib.Path(folder.name) / "kit"
        (self.kit / "sites").mkdir(parents=True)
        for name in NAMES:
            (self.kit / "sites" / name).write_text(f"the kit's {name}\n")
        self.site = pathlib.Path(folder.name) / "site" / "a.toml"
        self.site.parent.mkdir()
        self.site.write_text("name = \"a\"\n")

    def refused(self, expected, *words):
        result = lay(*words)
        self.assertEqual(result.returncode, 2)
        self.assertEqual(result.stderr, f"lay-site: {expected}\n")
        self.assertEqual([p.name for p in self.site.parent.iterdir()], ["a.toml"])

    def test_lays_what_the_bench_wants(self):
        result = lay(self.kit, self.site)
        self.assertEqual((result.returncode, result.stdout, result.stderr), (0, "", ""))
        for name in NAMES:
            self.assertEqual((self.site.parent / name).read_text(), f"the kit's {name}\n")
        self.assertEqual(self.site.read_text(), "name = \"a\"\n")

    def test_names_what_is_missing(self):
        self.refused("KIT: missing; expected the kit's folder, then site files")
        self.refused(f"{self.site.parent}: expected the kit's folder, with sites/ in it",
                     self.site.parent, self.site)
        self.refused("SITE: missing; expected one site file (.toml) or more", self.kit)
        self.refused(f"{self.site}x: expected a site file ending in .toml", self.kit,
                     f"{self.site}x")
        # Of several nothing is laid if one is not there.
        self.refused("none.toml: no such file; expected a site file", self.kit, self.site,
                     "none.toml")
        (self.kit / "sites" / "wire.json").unlink()
        self.refused(f"{self.kit}/sites/wire.json: missing; expected a file of the kit", self.kit,
                     self.site)


class GitIgnores(unittest.TestCase):
    def test_what_is_the_kits(self):
        paths = [f"deploy/sites/{name}" for name in NAMES]
        result = subprocess.run(["git", "check-ignore", *paths], cwd=ROOT, capture_output=True,
                                text=True, check=False)
        self.assertEqual(result.stdout.split(), paths)


if __name__ == "__main__":
    unittest.main()
