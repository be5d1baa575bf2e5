"""Builds a router's view of the fleet and its chooser, with their metrics."""

import random

import prometheus_client as prometheus

from lagoonflow.backends.choosing import Chooser
from lagoonflow.backends.cold import ColdServers
from lagoonflow.backends.evacuations import ZoneEvacuations
from lagoonflow.backends.even_load import EvenLoad
from lagoonflow.backends.evened_loads import EvenedLoads
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.liveness import HostLiveness
from lagoonflow.backends.roster import BackendRoster
from lagoonflow.backends.store_outages import StoreOutages
from lagoonflow.clock import boottime_ms
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.stalls import stalled_ms
from lagoonflow.wiring.platform_loads import LoadMetrics
from lagoonflow.wiring.platform_metrics import FleetCollector


def build_fleet(
    settings: PlatformSettings, registry: prometheus.CollectorRegistry
) -> Fleet:
    """Return the fleet, with the features that the settings call for."""
    fleet = Fleet(
        ZoneEvacuations(settings.evacuate_ms),
        ColdServers(settings.cold_overage, settings.cold_slack),
        EvenedLoads(are_all=settings.is_contended, are_reporting=True),
        HostLiveness(stalled_ms),
        BackendRoster(StoreOutages(settings.drain_ms, settings.heartbeat_ms)),
    )
    prometheus.Gauge(
        'lagoonflow_evacuated_zones',
        'Availability zones whose servers get no requests.',
        registry=registry,
    ).set_function(lambda: len(fleet.evacuations.zones))
    prometheus.Gauge(
        'lagoonflow_cold_servers',
        'Backend servers that are sent a limited rate, as they are cold.',
        registry=registry,
    ).set_function(lambda: fleet.cold.count(boottime_ms()))
    prometheus.Gauge(
        'lagoonflow_cold_deferred',
        'Calls that waited or were refused at cold servers, since the start.',
        registry=registry,
    ).set_function(lambda: fleet.cold.deferred)
    registry.register(FleetCollector(fleet))
    return fleet


def build_chooser(
    settings: PlatformSettings,
    fleet: Fleet,
    registry: prometheus.CollectorRegistry,
) -> Chooser:
    """Return the chooser, which evens the load where that is called for."""
    even_load = EvenLoad(random.Random())
    LoadMetrics(registry, fleet, even_load)
    return Chooser(fleet, settings.zone, settings.node, even_load)
