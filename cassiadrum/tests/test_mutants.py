"""Tests of the table of mutants."""

import pytest

from bench.mutants import ROOT, TABLE_PATH, Mutant, load_mutants

MUTANTS = load_mutants(TABLE_PATH.read_text())


class TestMutants:
    """Guards against a mutant that can no longer be applied.

    A change of the source or of a test's path leaves the table outdated, and the mutant would not
    show that a test detects it.
    """

    @pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
    def test_code_occurs_once_and_tests_exist(self, mutant: Mutant) -> None:
        assert (ROOT / mutant.file).read_text().count(mutant.code) == 1
        assert all((ROOT / test.partition("::")[0]).is_file() for test in mutant.tests)

    def test_names_are_unique(self) -> None:
        assert len({mutant.name for mutant in MUTANTS}) == len(MUTANTS)
