"""tools/build-packages on packages and build files written here, with no build and no dpkg."""
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tools"))
from packagecheck import check, debian, inputs  # noqa: E402

RECORDS = "\n".join(
    (
        "libc6\tno\toptional\t\t\t\tinstalled",
        "coreutils\tyes\trequired\t\tlibc6\t\tinstalled",
        "g++\tno\toptional\tc++-compiler\t\tcompiler-12 (= 12.2)\tinstalled",
        "compiler-12\tno\toptional\t\t\tlibstdc++-12-dev, libc6 (>= 2)\tinstalled",
        "libstdc++-12-dev\tno\toptional\t\t\t\tinstalled",
        "cmake\tno\toptional\t\t\tlibc6, cmake-data\tinstalled",
        "cmake-data\tno\toptional\t\t\t\tinstalled",
        "make\tno\toptional\t\t\tlibc6\tinstalled",
        "all-dev\tno\toptional\t\t\tall1.74-dev\tinstalled",
        "all1.74-dev\tno\toptional\t\t\t\tinstalled",
        "soup-dev\tno\toptional\t\t\tnone | glib-dev (>= 2), lmdb-api\tinstalled",
        "glib-dev\tno\toptional\t\t\tpkg-config\tinstalled",
        "lmdb\tno\toptional\tlmdb-api (= 1)\t\t\tinstalled",
        "pkg-config\tno\toptional\t\t\t\tinstalled",
        "gone\tno\toptional\t\t\t\tconfig-files",
    )
)
INSTALLED = debian.Installation(debian.parse_records(RECORDS))
EMPTY = {"all-dev"}


def need(package: str, is_direct: bool = False) -> check.Need:
    return check.Need(package, f"/usr/{package}", "header", is_direct)


def problems(listed: list[str], *needs: check.Need) -> list[str]:
    return check.PackageCheck(INSTALLED, list(needs), "g++", EMPTY.__contains__).problems(listed)


class InstallationTest(unittest.TestCase):
    def test_relations_lose_versions_and_architectures(self):
        self.assertEqual(
            debian.parse_relation("libc6 (>= 2.34), a:any | b (= 1) , ,c"), (("libc6",), ("a", "b"), ("c",))
        )

    def test_closure_takes_what_is_installed_or_provided(self):
        closure = INSTALLED.closure(["soup-dev"])
        self.assertEqual(closure, {"soup-dev", "glib-dev", "lmdb", "pkg-config"})

    def test_packages_that_are_removed_do_not_count(self):
        self.assertNotIn("gone", INSTALLED)

    def test_base_is_what_is_required_and_all_it_needs(self):
        self.assertEqual(INSTALLED.base(), {"coreutils", "libc6"})


class CheckTest(unittest.TestCase):
    def test_a_complete_list_has_no_problem(self):
        needs = need("cmake", True), need("make", True), need("cmake-data"), need("libc6")
        self.assertEqual(problems(["cmake", "make"], *needs), [])

    def test_the_build_tool_is_missed(self):
        lines = problems(["cmake"], need("cmake", True), need("make", True))
        self.assertEqual(len(lines), 1)
        self.assertIn("make: asked for by the project itself", lines[0])

    def test_what_is_only_brought_along_has_to_be_listed_if_the_project_asks_for_it(self):
        lines = problems(["soup-dev"], need("soup-dev", True), need("pkg-config", True))
        self.assertIn("pkg-config: asked for by the project itself", lines[0])
        self.assertEqual(problems(["soup-dev"], need("soup-dev", True), need("pkg-config")), [])

    def test_each_package_is_missed_when_it_is_taken_out(self):
        listed = ["cmake", "make", "soup-dev", "pkg-config", "all-dev", "g++"]
        needs = [need(name, True) for name in ("cmake", "make", "soup-dev", "pkg-config", "all1.74-dev", "g++")]
        self.assertEqual(problems(listed, *needs), [])
        for name in listed:
            with self.subTest(name):
                self.assertNotEqual(problems([other for other in listed if other != name], *needs), [])

    def test_a_package_without_need_is_reported(self):
        lines = problems(["cmake", "make"], need("cmake", True))
        self.assertEqual(lines, ["make: listed, but the build is complete without it"])

    def test_an_empty_package_stands_for_what_it_depends_on(self):
        self.assertEqual(problems(["all-dev"], need("all1.74-dev", True)), [])
        self.assertNotEqual(problems(["soup-dev"], need("soup-dev", True), need("glib-dev", True)), [])

    def test_the_compilers_own_headers_need_no_entry(self):
        self.assertEqual(problems(["g++"], need("g++", True), need("libstdc++-12-dev", True)), [])

    def test_a_package_that_is_not_here_cannot_be_checked(self):
        lines = problems(["cmake", "nowhere"], need("cmake", True))
        self.assertEqual(lines, ["nowhere: listed, but not installed here, so it can't be checked"])

    def test_files_of_no_package_are_told(self):
        class Owners:
            def of(self, path):
                return {"/usr/bin/cmake": ["cmake", "cmake-data"]}.get(path, [])

        entries = [inputs.Input("/usr/bin/cmake", "program", True), inputs.Input("/opt/x.h", "header")]
        needs, unknown = check.needs_of(entries, Owners())
        self.assertEqual([(found.package, found.is_direct) for found in needs], [("cmake", True), ("cmake-data", False)])
        self.assertEqual(unknown, ["/opt/x.h"])


class InputsTest(unittest.TestCase):
    def test_programs_and_folder_of_a_command(self):
        command = "cmake -S . -B target -DX=ON && cmake --build target -j8 && strip target/x"
        self.assertEqual(inputs.programs_of_command(command), ["cmake", "strip"])
        self.assertEqual(inputs.build_folder(command), "target")
        with self.assertRaisesRegex(inputs.BuildError, "expected cmake with -B"):
            inputs.build_folder("make all")

    def test_cache_entries(self):
        text = "# text\n//Note: x\nCMAKE_AR:FILEPATH=/usr/bin/ar\nX-ADVANCED:INTERNAL=1\n\nA_MODULE_NAME:INTERNAL=libcbor\n"
        self.assertEqual(
            inputs.read_cache(text), {"CMAKE_AR": "/usr/bin/ar", "X-ADVANCED": "1", "A_MODULE_NAME": "libcbor"}
        )

    def test_dependency_files_over_several_lines(self):
        text = "a.o: /w/a.cpp \\\n /usr/include/x.h \\\n  /usr/include/y.h\n"
        self.assertEqual(inputs.parse_dependency_file(text), ["/w/a.cpp", "/usr/include/x.h", "/usr/include/y.h"])

    def test_compiling_becomes_asking(self):
        words = inputs.preprocessing_command("/usr/bin/c++ -I/x -O3 -o CMakeFiles/a.o -c /w/a.cpp")
        self.assertEqual(words, ["/usr/bin/c++", "-I/x", "-O3", "/w/a.cpp", "-M", "-MT", "object"])

    def test_cmake_files_outside_the_build(self):
        text = 'x\nset(CMAKE_MAKEFILE_DEPENDS\n  "CMakeCache.txt"\n  "/usr/share/a.cmake"\n  )\nset(OTHER "/no")'
        self.assertEqual(inputs.parse_cmake_files(text), ["/usr/share/a.cmake"])

    def test_a_folder_that_is_not_configured_is_named(self):
        with tempfile.TemporaryDirectory() as folder:
            with self.assertRaisesRegex(inputs.BuildError, "CMakeCache.txt: missing; expected"):
                inputs.Build(pathlib.Path(folder), "cmake -B build")

    def test_links_are_followed_one_by_one(self):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder).resolve()
            (root / "c").write_text("")
            (root / "b").symlink_to("c")
            (root / "a").symlink_to(root / "b")
            self.assertEqual(debian.links_of(str(root / "a")), [str(root / name) for name in "abc"])


if __name__ == "__main__":
    unittest.main()
