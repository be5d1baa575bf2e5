"""HTTP/1.1 over TCP, for callers, backend servers and the metadata store."""
