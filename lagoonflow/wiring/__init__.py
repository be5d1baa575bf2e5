"""Composition root: builds and connects the components of each program."""
