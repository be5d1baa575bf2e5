"""Adapter to the users' platform: its names, formats and calls.

Other packages make the decisions; they use lagoonflow's types instead of the
platform's formats.
"""
