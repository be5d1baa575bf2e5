"""The composition root: wires the parts of each program."""
