"""Sizes of the two deployments that are benchmarked."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes and speeds of one deployment.

    :param routers: number of routers.
    :param engines: number of runners with a model engine.
    :param plain_services: number of runners with a plain service.
    :param store_loads_per_s: loads per second that the weight store allows.
    :param engine_memory_mb: memory of one accelerator.
    :param model_memory_mb: memory of one replica.
    :param zone_delay_ms: delay between availability zones.
    :param store_parallel: fetches that the store runs at full speed.
    :param disk_load_ms: time to load a checkpoint from the local disk.
    :param memory_load_ms: time to load a checkpoint from host memory.
    :param tokens_per_s: tokens per second of one sequence.
    :param batch_size: sequences that an engine runs at once.
    """

    name: str
    routers: int
    engines: int
    plain_services: int
    models: int
    adapters: int
    organisations: int
    store_loads_per_s: float
    zone_delay_ms: float
    store_parallel: int = 4
    engine_memory_mb: int = 20_500
    model_memory_mb: int = 4_000
    adapter_memory_mb: int = 32
    disk_load_ms: int = 1_200
    memory_load_ms: int = 250
    tokens_per_s: int = 60
    batch_size: int = 16

    @property
    def fetch_ms(self) -> float:
        """Time to fetch one checkpoint at full speed, in ms."""
        return self.store_parallel / self.store_loads_per_s * 1000


TAQUARI = Deployment(
    name='taquari',
    routers=3,
    engines=5,
    plain_services=3,
    models=30,
    adapters=40,
    organisations=5,
    store_loads_per_s=1.5,
    zone_delay_ms=1,
)
HUNGARY = Deployment(
    name='hungary',
    routers=3,
    engines=9,
    plain_services=3,
    models=30,
    adapters=110,
    organisations=5,
    store_loads_per_s=4,
    zone_delay_ms=1.5,
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (TAQUARI, HUNGARY)}
