"""Adapter to the users' platform: its names, formats and calls.

Decisions are made elsewhere; outside of this package, only types of this
project are used.
"""
