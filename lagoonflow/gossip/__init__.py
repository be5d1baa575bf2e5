"""Small datagrams by which routers and agents keep each other informed."""
