"""Tests of gateways."""
