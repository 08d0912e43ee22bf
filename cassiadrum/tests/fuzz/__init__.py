"""Tests with generated input from outside."""
