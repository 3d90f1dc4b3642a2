"""Serves language models in ranks, by an operators' table, with whole weights."""

__version__ = "0.1.0"
