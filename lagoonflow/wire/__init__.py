"""The codec and service names between the programs."""
