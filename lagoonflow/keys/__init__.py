"""Authentication of callers by keys, and removal of keys from requests."""
