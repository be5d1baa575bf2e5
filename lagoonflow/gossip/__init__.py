"""UDP datagrams by which routers and agents share state."""
