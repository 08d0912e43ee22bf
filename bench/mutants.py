"""Break one promise at a time in a copy of the tree and require that a named test fails."""

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
    """State a promise, the exact code that keeps it, its replacement, and tests that notice."""

    name: str
    promise: str
    file: str
    code: str
    replacement: str
    tests: list[str]


def load_mutants(text: str) -> list[Mutant]:
    """Return the mutants of a table."""
    return [Mutant(**entry) for entry in tomllib.loads(text)["mutant"]]


def apply(tree: Path, mutant: Mutant) -> None:
    """Replace the code, which has to occur exactly once."""
    path = tree / mutant.file
    text = path.read_text()
    count = text.count(mutant.code)
    if count != 1:
        raise ValueError(f"{mutant.name}: {mutant.file} has the code {count} times")
    path.write_text(text.replace(mutant.code, mutant.replacement))


def run_tests(tree: Path, tests: list[str]) -> int:
    """Return pytest's exit code; a run that does not end within the limit has failed."""
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", *tests]
    try:
        done = subprocess.run(
            command, cwd=tree, capture_output=True, check=False, timeout=TEST_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return FAILED
    return done.returncode


def copy_tree(tree: Path) -> Path:
    """Copy what the tests need."""
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, tree / name, ignore=ignored)
        else:
            shutil.copy(source, tree / name)
    return tree


def run_mutant(mutant: Mutant) -> str:
    """Return `killed`, `SURVIVED` or what went wrong."""
    with tempfile.TemporaryDirectory() as directory:
        tree = copy_tree(Path(directory))
        apply(tree, mutant)
        code = run_tests(tree, mutant.tests)
    return {FAILED: "killed", PASSED: "SURVIVED"}.get(code, f"pytest ended with {code}")


def main() -> None:
    """Run the mutants named on the command line, or all."""
    mutants = load_mutants(TABLE_PATH.read_text())
    chosen = [mutant for mutant in mutants if not sys.argv[1:] or mutant.name in sys.argv[1:]]
    # A test that fails without a mutant would kill every one.
    tests = sorted({test for mutant in chosen for test in mutant.tests})
    with tempfile.TemporaryDirectory() as directory:
        if run_tests(copy_tree(Path(directory)), tests) != PASSED:
            sys.exit("the tests fail without a mutant")
    results = []
    for mutant in chosen:
        results.append(run_mutant(mutant))
        print(f"{results[-1]:10} {mutant.name}: {mutant.promise}", flush=True)
    sys.exit(any(result != "killed" for result in results))


if __name__ == "__main__":
    main()
