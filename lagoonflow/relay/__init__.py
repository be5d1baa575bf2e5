"""Relay of callers' requests to backend servers, byte for byte."""
