"""Parts of a router that follow from its settings."""

from lagoonflow.http1.request_bodies import bodies_bound
from lagoonflow.platform.settings import parse_settings
from lagoonflow.wiring.platform_router import PlatformRouter
from tests.platform.test_settings import TEXT

MEMORY_BYTES = 300_000_000


async def test_bodies_of_requests_are_bounded_by_the_memory_limit():
    router = PlatformRouter(parse_settings(f'{TEXT}limits.memory_mb=300\n'))
    bodies = router._http.bodies
    assert bodies.try_take(bodies_bound(MEMORY_BYTES))
    assert not bodies.try_take(1)
