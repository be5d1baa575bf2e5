"""A fleet of runners and homes that exchange messages without delay."""

import dataclasses

from lagoonflow.placement.actions import (
    Probe,
    ReplyToLocate,
    SendBidRequest,
    SendDecision,
)
from lagoonflow.placement.home import HomeState
from lagoonflow.placement.messages import LocateRequest, Target
from lagoonflow.placement.settings import HomeSettings
from lagoonflow.streams.messages import Versions
from tests.runners.fakes import FakeEngine, RunnerHarness


class Fleet:
    """Agents with a runner and a home each, on a virtual clock.

    The ranking of every model is the agents' order by name.

    :ivar down: agents that can't be reached.
    :ivar held_back: agents to which bid requests are delivered only by
        :meth:`deliver_held_back`.
    :ivar lose_replies: whether replies to decisions are lost.
    """

    def __init__(self, releases, agents=3, capacity_mb=250, **settings):
        self.names = [f'agent-{number}' for number in range(1, agents + 1)]
        self.releases = releases
        self.now_ms = 1_000
        self.down = set()
        self.held_back = set()
        self.lose_replies = False
        self.replies = {}
        self.decisions = []
        self.undelivered = []
        self.request_count = 0
        self.harnesses = {}
        self.homes = {}
        for name in self.names:
            harness = RunnerHarness(releases, FakeEngine(capacity_mb))
            harness.settings = dataclasses.replace(harness.settings, agent=name)
            harness.restart_agent()
            harness.refresh_listing()
            self.harnesses[name] = harness
            self.homes[name] = HomeState(
                HomeSettings(name, 'nonce', **settings),
                releases,
                lambda _model: tuple(self.names),
            )

    def locate(self, model, home='agent-1', **fields):
        number = self.request_count
        self.request_count += 1
        request = LocateRequest(
            Target(model),
            'org',
            fields.pop('deadline_in_ms', 60_000),
            Versions(),
            **fields,
        )
        self.run(home, self.homes[home].on_locate(self.now_ms, number, request))
        return number

    def run(self, home, actions):
        for action in actions:
            match action:
                case ReplyToLocate(request_number=number, reply=reply):
                    assert number not in self.replies
                    self.replies[number] = reply
                case SendBidRequest(agent=agent) if agent in self.held_back:
                    self.undelivered.append((home, action))
                case SendBidRequest():
                    self._send_bid_request(home, action)
                case SendDecision():
                    self._decide(home, action.decision)
                case Probe(peer=peer):
                    state = self.homes[home]
                    up = peer not in self.down
                    up = up and self.homes[peer].is_caught_up
                    self.run(
                        home,
                        state.on_probe(self.now_ms, peer, is_reachable=up),
                    )

    def deliver_held_back(self):
        """Deliver the bid requests that were held back."""
        undelivered, self.undelivered = self.undelivered, []
        for home, action in undelivered:
            self._send_bid_request(home, action)

    def tick(self, passed_ms=50):
        self.now_ms += passed_ms
        for name, state in self.homes.items():
            if name not in self.down:
                self.run(name, state.on_tick(self.now_ms))
        for harness in self.harnesses.values():
            harness.tick(self.now_ms - harness.now_ms)

    def announce(self, name, home='agent-1', **changes):
        harness = self.harnesses[name]
        models = tuple(self.releases.models)
        announcement = harness.state.announcement(self.now_ms, 'n', models)
        announcement = dataclasses.replace(announcement, **changes)
        self.run(
            home, self.homes[home].on_announcement(self.now_ms, announcement)
        )

    def complete_loads(self):
        for harness in self.harnesses.values():
            harness.refresh_listing()
            harness.engine.complete_loads()
            harness.refresh_listing()

    @property
    def loads(self):
        return sum(harness.engine.loads for harness in self.harnesses.values())

    def _send_bid_request(self, home, action):
        state = self.homes[home]
        harness = self.harnesses[action.agent]
        if action.agent in self.down:
            if not action.request.is_withdrawal:
                self.run(
                    home,
                    state.on_bid_failed(
                        self.now_ms, action.request.bid_id, action.agent
                    ),
                )
            return
        harness.now_ms = max(harness.now_ms, self.now_ms)
        bid = harness.state.on_bid_request(harness.now_ms, action.request)
        if not action.request.is_withdrawal:
            self.run(home, state.on_bid(self.now_ms, bid))

    def _decide(self, home, decision):
        self.decisions.append(decision)
        state = self.homes[home]
        if decision.agent in self.down:
            actions = state.on_decision_failed(
                self.now_ms, decision.decision_id
            )
            self.run(home, actions)
            return
        harness = self.harnesses[decision.agent]
        reply, todo = harness.state.on_decision(harness.now_ms, decision)
        harness.execute(todo)
        if self.lose_replies:
            actions = state.on_decision_failed(
                self.now_ms, decision.decision_id
            )
        else:
            actions = state.on_decision_reply(self.now_ms, reply)
        self.run(home, actions)
