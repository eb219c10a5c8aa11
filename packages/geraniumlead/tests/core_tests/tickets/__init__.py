"""Tests of tickets."""
