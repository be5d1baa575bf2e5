"""Where a request goes, and where its model is woken."""

from lagoonflow.backends.choosing import (
    Chooser,
    NoServer,
    Requirements,
    Send,
    Wake,
)
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.declared.messages import Service
from lagoonflow.gossip.messages import AgentState, HeldModelState, LoadRejection
from lagoonflow.http1.messages import RequestHead
from lagoonflow.relay.messages import Call, PromptPart
from tests.waking.builders import spec

NOW_MS = 50_000.0
ENGINE = Service('llm', 100, spec())
PLAIN = Service('app', 100)
HEAD = RequestHead(b'POST', b'/', ())


def call(model='m1', adapter='', prompt=()):
    return Call(
        'a1', 'h', '/', HEAD, b'', model=model, adapter=adapter, prompt=prompt
    )


def agent(instance, *held, **fields):
    return AgentState(
        agent=instance,
        instance=instance,
        runner_started_ms=1,
        held=held,
        can_order=True,
        **fields,
    )


def world(*agents, service='llm', zones=()):
    fleet = Fleet()
    for place, state in enumerate(agents):
        zone = zones[place] if zones else 'z'
        address = f'10.0.0.{place}:80'
        server = BackendServer(
            state.instance, service, address, zone, 8, started_ms=1
        )
        fleet.roster.put(server, NOW_MS)
        if service == 'llm':
            fleet.observe_agent(state, NOW_MS)
    return fleet


def choose(fleet, one=None, service=ENGINE, **terms):
    requirements = Requirements(one or call(), service, **terms)
    return Chooser(fleet, 'z').choose(requirements, NOW_MS)


def test_sends_to_a_runner_that_holds_the_model():
    choice = choose(world(agent('i-a'), agent('i-b', HeldModelState('m1'))))
    assert isinstance(choice, Send)
    assert choice.server.instance == 'i-b'


def test_prefers_the_runner_that_has_read_the_prompt():
    fleet = world(
        agent('i-a', HeldModelState('m1')), agent('i-b', HeldModelState('m1'))
    )
    fleet.prompts.remember('i-b', ['m1//p1'])
    one = call(prompt=(PromptPart('p1', 6000), PromptPart('p2', 500)))
    assert choose(fleet, one).server.instance == 'i-b'


def test_prefers_the_less_loaded_runner():
    fleet = world(
        agent('i-a', HeldModelState('m1'), active=40),
        agent('i-b', HeldModelState('m1'), active=2),
    )
    assert choose(fleet).server.instance == 'i-b'


def test_wakes_a_model_where_a_copy_lies():
    fleet = world(
        agent('i-a', free_mb=90_000),
        agent('i-b', free_mb=90_000, on_disk=('m1',)),
    )
    choice = choose(fleet)
    assert isinstance(choice, Wake)
    assert choice.server.instance == 'i-b'


def test_joins_a_load_that_is_coming():
    fleet = world(
        agent('i-a', free_mb=90_000, in_memory=('m1',)),
        agent('i-b', loading='m1', order_ready_in_ms=900),
    )
    choice = choose(fleet)
    assert choice.server.instance == 'i-b'
    assert choice.is_load_pending


def test_all_routers_choose_one_runner_for_a_model_that_lies_nowhere():
    agents = [agent(f'i-{one}', free_mb=90_000) for one in range(4)]
    first = choose(world(*agents)).server.instance
    second = choose(world(*reversed(agents))).server.instance
    assert first == second


def test_does_not_displace_what_is_in_demand_when_it_can_be_avoided():
    fleet = world(
        agent('i-a', HeldModelState('m2', demand_per_s=3.0), on_disk=('m1',)),
        agent('i-b', HeldModelState('m2', demand_per_s=0.1), on_disk=('m1',)),
    )
    assert choose(fleet).server.instance == 'i-b'


def test_waits_for_an_adapter_at_a_runner_that_holds_the_model():
    choice = choose(
        world(agent('i-a', HeldModelState('m1'))), call(adapter='a1')
    )
    assert isinstance(choice, Wake)
    ready = world(agent('i-a', HeldModelState('m1', ('a1',))))
    assert isinstance(choose(ready, call(adapter='a1')), Send)


def test_a_denied_wish_goes_elsewhere():
    denial = LoadRejection('m1', '', 500)
    fleet = world(
        agent(
            'i-a', in_memory=('m1',), free_mb=90_000, load_rejections=(denial,)
        ),
        agent('i-b', on_disk=('m1',), free_mb=90_000),
    )
    assert choose(fleet).server.instance == 'i-b'


def test_another_replica_is_woken_when_the_holder_is_overloaded():
    fleet = world(
        agent('i-a', HeldModelState('m1'), active=64, queued=60),
        agent('i-b', in_memory=('m1',), free_mb=90_000),
    )
    choice = choose(fleet)
    assert isinstance(choice, Wake)
    assert choice.server.instance == 'i-b'


def test_without_servers_or_declaration_there_is_no_place():
    assert isinstance(choose(world()), NoServer)
    held = world(agent('i-a', HeldState('m1')))
    assert isinstance(choose(held, call('unknown')), NoServer)
    excluded = choose(held, excluded=frozenset(['i-a']))
    assert isinstance(excluded, NoServer)


def test_a_plain_service_is_chosen_by_load_and_zone():
    fleet = world(agent('i-a'), agent('i-b'), service='app', zones=('far', 'z'))
    assert choose(fleet, call(''), PLAIN).server.instance == 'i-b'
    for _ in range(6):
        fleet.begin_request('i-b', '', NOW_MS)
    assert choose(fleet, call(''), PLAIN).server.instance == 'i-a'


def test_a_server_that_failed_is_the_last_choice():
    fleet = world(agent('i-a'), agent('i-b'), service='app')
    first = choose(fleet, call(''), PLAIN).server.instance
    fleet.health(first).note_no_answer(NOW_MS)
    assert choose(fleet, call(''), PLAIN).server.instance != first


def test_a_runner_whose_host_fell_silent_is_the_last_choice():
    fleet = world(
        agent('i-a', HeldModelState('m1'), active=20),
        agent('i-b', HeldModelState('m1')),
    )
    later_ms = NOW_MS + 1500
    fleet.observe_agent(agent('i-a', HeldState('m1'), active=20), later_ms)
    requirements = Requirements(call(), ENGINE)
    choice = Chooser(fleet, 'z').choose(requirements, later_ms)
    assert choice.server.instance == 'i-a'


def test_nothing_is_sent_to_a_runner_that_is_down():
    down = world(
        agent('i-a', HeldModelState('m1'), is_down=True),
        agent('i-b', on_disk=('m1',), free_mb=90_000),
    )
    choice = choose(down)
    assert isinstance(choice, Wake)
    assert choice.server.instance == 'i-b'


def test_a_denied_wish_is_waited_for_when_there_is_no_other_place():
    denial = LoadRejection('m1', 'a9', 1500)
    fleet = world(agent('i-a', HeldModelState('m1'), load_rejections=(denial,)))
    choice = choose(fleet, call(adapter='a9'))
    assert isinstance(choice, Wake)
    assert 1500 <= choice.ready_in_ms < 3000


def test_prompts_that_wait_to_be_read_count():
    fleet = world(
        agent('i-a', HeldModelState('m1')), agent('i-b', HeldModelState('m1'))
    )
    first = choose(fleet).server.instance
    fleet.begin_request(first, 'm1', NOW_MS, 9000)
    assert choose(fleet).server.instance != first
    fleet.note_prefilled(first, 9000)
    fleet.end_request(first, 'm1')
    assert choose(fleet).server.instance == first


def test_a_runner_that_answers_late_is_avoided():
    fleet = world(
        agent('i-a', HeldModelState('m1')), agent('i-b', HeldModelState('m1'))
    )
    first = choose(fleet).server.instance
    for _ in range(4):
        fleet.health(first).note_lag(2000, NOW_MS)
    assert choose(fleet).server.instance != first
    fleet.health(first).note_lag(0, NOW_MS + 20_000)
    assert fleet.health(first).lag_ms(NOW_MS + 20_000) < 50


def test_requests_without_an_answer_count_as_lag():
    fleet = world(
        agent('i-a', HeldModelState('m1')), agent('i-b', HeldModelState('m1'))
    )
    first = choose(fleet).server.instance
    fleet.health(first).begin_wait(1, NOW_MS - 3000)
    assert choose(fleet).server.instance != first
    fleet.health(first).end_wait(1)
    assert choose(fleet).server.instance == first


def test_a_copy_elsewhere_goes_before_a_slow_load_that_is_coming():
    """Else all callers of a hot model wait for the weight store."""
    fleet = world(
        agent('i-a', free_mb=90_000, on_disk=('m1',)),
        agent('i-b', loading='m1', order_ready_in_ms=5000, is_from_store=True),
    )
    choice = choose(fleet)
    assert choice.server.instance == 'i-a'


def unheard_world(listed_ms):
    """A fleet that has heard one of two agents."""
    fleet = Fleet()
    for place, instance in enumerate(('i-a', 'i-b')):
        address = f'10.0.0.{place}:80'
        server = BackendServer(instance, 'llm', address, 'z', 8, started_ms=1)
        fleet.roster.put(server, listed_ms)
    fleet.observe_agent(agent('i-a', free_mb=90_000), NOW_MS)
    return fleet


def test_nothing_is_loaded_from_the_store_before_all_agents_were_heard():
    """After a restart hot models seemed to lie nowhere."""
    choice = choose(unheard_world(NOW_MS - 500))
    assert isinstance(choice, NoServer)
    assert choice.may_change


def test_an_agent_that_stays_away_is_not_waited_for():
    choice = choose(unheard_world(NOW_MS - 5000))
    assert isinstance(choice, Wake)
    assert choice.is_from_store


def test_a_copy_is_used_before_all_agents_were_heard():
    fleet = unheard_world(NOW_MS - 500)
    fleet.observe_agent(agent('i-a', free_mb=90_000, on_disk=('m1',)), NOW_MS)
    assert isinstance(choose(fleet), Wake)


def test_what_speaks_against_a_runner_does_not_make_it_late():
    """Requests were refused as too late although their model was near."""
    fleet = world(agent('i-a', free_mb=90_000, on_disk=('m1',)))
    for _ in range(5):
        fleet.health('i-a').note_no_answer(NOW_MS)
    choice = choose(fleet)
    assert choice.ready_in_ms < 1000 < choice.rank_ms


def test_a_runner_with_requests_for_adapters_is_not_blocked():
    """No adapter is loaded while a model is."""
    fleet = world(
        agent(
            'i-a',
            HeldModelState('m2', demand_per_s=4.0),
            free_mb=90_000,
            on_disk=('m1',),
        ),
        agent('i-b', free_mb=90_000, on_disk=('m1',)),
    )
    assert choose(fleet).server.instance == 'i-b'


def test_a_copy_does_not_wait_for_planned_loads_from_the_store():
    fleet = world(
        agent('i-a', free_mb=90_000, on_disk=('m1',), planned=('m2',))
    )
    assert choose(fleet).ready_in_ms < 1000


def test_a_long_prompt_goes_where_fewer_streams_run():
    """Streams pause while a prompt is read."""
    fleet = world(
        agent('i-a', HeldModelState('m1'), active=10),
        agent('i-b', HeldModelState('m1'), active=6),
    )
    fleet.prompts.remember('i-a', ['m1//p1'])
    one = call(prompt=(PromptPart('p1', 500), PromptPart('p2', 9000)))
    assert choose(fleet, one).server.instance == 'i-b'


def test_a_runner_that_drops_the_model_gets_nothing_and_may_load_it_again():
    """Its copy is there; a load from the store elsewhere takes seconds."""
    fleet = world(agent('i-a', HeldModelState('m1'), on_disk=('m1',)))
    rejecting = frozenset(['i-a'])
    assert not isinstance(choose(fleet, rejecting=rejecting), Send)
    dropped = agent('i-a', free_mb=90_000, on_disk=('m1',))
    fleet.observe_agent(dropped, NOW_MS)
    choice = choose(fleet, rejecting=rejecting)
    assert isinstance(choice, Wake)
    assert choice.server.instance == 'i-a'
