"""Tests of the package, one class for each subject."""
