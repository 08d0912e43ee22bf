"""Mutation tests: break one guarantee in a copy of the source tree and expect a test to fail."""

import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[1]
TABLE_PATH = ROOT / "bench" / "mutants.toml"
COPIED_PATHS = ("cassiadrum", "bench", "examples", "pyproject.toml", "conftest.py")
TEST_TIMEOUT_S = 600.0
# Exit codes of pytest.
PASSED = 0
FAILED = 1


class Mutant(NamedTuple):
    """A guarantee, the exact code that keeps it, its replacement and the tests that must fail."""

    name: str
    promise: str
    file: str
    code: str
    replacement: str
    tests: list[str]


def load_mutants(text: str) -> list[Mutant]:
    """Parse the mutants of a TOML table."""
    return [Mutant(**entry) for entry in tomllib.loads(text)["mutant"]]


def apply(tree: Path, mutant: Mutant) -> None:
    """Replace the code of the mutant; raise ValueError if it does not occur exactly once."""
    path = tree / mutant.file
    text = path.read_text()
    count = text.count(mutant.code)
    if count != 1:
        raise ValueError(
            f"mutant {mutant.name}: {mutant.file} has the code {count} times, expected once"
        )
    path.write_text(text.replace(mutant.code, mutant.replacement))


def run_tests(tree: Path, tests: list[str]) -> int:
    """Return pytest's exit code; a run that exceeds the timeout counts as failed."""
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", *tests]
    try:
        done = subprocess.run(
            command, cwd=tree, capture_output=True, check=False, timeout=TEST_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return FAILED
    return done.returncode


def copy_tree(tree: Path) -> Path:
    """Copy the files that the tests need to `tree` and return it."""
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, tree / name, ignore=ignored)
        else:
            shutil.copy(source, tree / name)
    return tree


def run_mutant(mutant: Mutant) -> str:
    """Run the tests of a mutant; return `killed`, `SURVIVED` or the unexpected exit code."""
    with tempfile.TemporaryDirectory() as directory:
        tree = copy_tree(Path(directory))
        apply(tree, mutant)
        code = run_tests(tree, mutant.tests)
    return {FAILED: "killed", PASSED: "SURVIVED"}.get(code, f"pytest ended with {code}")


def main() -> None:
    """Run the mutants named on the command line, by default all."""
    mutants = load_mutants(TABLE_PATH.read_text())
    chosen = [mutant for mutant in mutants if not sys.argv[1:] or mutant.name in sys.argv[1:]]
    # A test that fails on unchanged code would report every mutant as killed.
    tests = sorted({test for mutant in chosen for test in mutant.tests})
    with tempfile.TemporaryDirectory() as directory:
        if run_tests(copy_tree(Path(directory)), tests) != PASSED:
            sys.exit("the tests fail on the unchanged code; no mutants were run")
    results = []
    for mutant in chosen:
        results.append(run_mutant(mutant))
        print(f"{results[-1]:10} {mutant.name}: {mutant.promise}", flush=True)
    sys.exit(any(result != "killed" for result in results))


if __name__ == "__main__":
    main()
