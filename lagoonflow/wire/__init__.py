"""Transport between programs: gRPC codec, client and server; ASGI server."""
