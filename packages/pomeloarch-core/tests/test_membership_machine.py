"""Membership, leases and generations of a few nodes under all faults.

A Hypothesis state machine in virtual time. Messages are lost, delayed,
reordered and duplicated. Nodes pause, restart at the same address and have
clocks that drift. Links are cut in one direction. The platform is cut off, is
slow and loses answers after writes took effect.
"""

import heapq
import itertools
import random

from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from pomeloarch_core.ids import Generation, NodeId, PublicationId, ZoneName
from pomeloarch_core.membership import (
    LeaseMachine,
    MembershipProtocol,
    NodeState,
    ReadRow,
    Rumour,
)
from pomeloarch_core.membership.generation_exchange import (
    TICK_S,
    GenerationExchange,
    SendTo,
    Transfer,
)
from pomeloarch_core.membership.generation_messages import (
    Have,
    decode_message,
    encode_message,
)
from pomeloarch_core.membership.messages import Deliver, SendFrame
from pomeloarch_core.objects.model import (
    AvailabilityZone,
    ObjectSet,
    Snapshot,
)

ZONES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c"}
CANDIDATES = ("a1", "a2", "a3")
NODES = strategies.sampled_from(sorted(ZONES))
TOPIC = "generation"
# The drift bound of the lease covers clocks that run fast or slow by this
# share.
DRIFT = 0.04
CONVERGENCE_S = 45.0


def snapshot(generation):
    zones = tuple(
        AvailabilityZone(name=ZoneName(f"z{number}"), region="here")
        for number in range(generation)
    )
    return Snapshot(
        Generation(generation),
        PublicationId(f"p{generation}"),
        ObjectSet(availability_zone=zones),
    )


class Node:
    """One process with its clock, membership, exchange and lease."""

    def __init__(self, name, now, incarnation, rng):
        self.name = NodeId(name)
        self.zone = ZoneName(ZONES[name])
        self.rate = rng.uniform(1 - DRIFT, 1 + DRIFT)
        self.offset = rng.uniform(0, 1000)
        self.paused_until = 0.0
        self.busy = False
        local = Rumour(self.name, self.zone, name, NodeState.ALIVE, incarnation)
        self.protocol = MembershipProtocol(local, ["a1", "b1"], rng)
        self.exchange = GenerationExchange(self.name, self.zone, rng)
        owner = f"{name}/{incarnation}"
        self.lease = LeaseMachine(self.name, owner)
        self.epochs_held = set()

    def clock(self, now):
        return self.offset + now * self.rate

    @property
    def generation(self):
        return self.exchange.snapshot.generation


class World:
    """Virtual time, the links between nodes and the row of the platform."""

    def __init__(self, rng):
        self.rng = rng
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.incarnations = itertools.count(1)
        self.cuts = set()
        self.loss = 0.0
        self.platform_cut = set()
        self.platform_slow = 0.0
        self.answers_lost = 0.0
        self.row = (0, None)
        self.generation = 0
        self.epoch_owner = {}
        self.nodes = {}
        for name in ZONES:
            self.start(name)

    def start(self, name):
        node = Node(name, self.now, next(self.incarnations), self.rng)
        self.nodes[name] = node
        self.at(0.0, self.tick_membership, node)
        self.at(0.0, self.tick_generations, node)
        if name in CANDIDATES:
            self.at(0.0, self.tick_lease, node)

    def at(self, delay, function, *args):
        when = self.now + delay
        heapq.heappush(self.events, (when, next(self.order), function, args))

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
            self.check_holders()
        self.now = end

    def is_current(self, node):
        return self.nodes.get(node.name) is node

    def defer_if_paused(self, node, function, *args):
        """Returns whether an event is deferred to the end of a pause."""
        if self.now < node.paused_until:
            self.at(node.paused_until - self.now, function, node, *args)
            return True
        return False

    def tick_membership(self, node):
        if not self.is_current(node) or self.defer_if_paused(
            node, self.tick_membership
        ):
            return
        self.apply_effects(node, node.protocol.tick(node.clock(self.now)))
        self.at(0.1, self.tick_membership, node)

    def receive(self, node, frame):
        if not self.is_current(node) or self.defer_if_paused(
            node, self.receive, frame
        ):
            return
        self.apply_effects(
            node, node.protocol.receive(frame, node.clock(self.now))
        )

    def apply_effects(self, node, effects):
        for effect in effects:
            if isinstance(effect, SendFrame):
                self.transmit(node, effect)
            elif isinstance(effect, Deliver) and effect.topic == TOPIC:
                message = decode_message(effect.payload).ok_value
                self.apply_exchange_effects(
                    node,
                    node.exchange.receive(
                        effect.sender, message, node.clock(self.now)
                    ),
                )

    def transmit(self, node, effect):
        if (node.name, effect.address) in self.cuts:
            return
        for _ in range(1 + (self.rng.random() < 0.05)):
            if self.rng.random() >= self.loss:
                delay = self.rng.uniform(0.001, 0.02)
                if self.rng.random() < self.loss:
                    delay += self.rng.uniform(0.0, 3.0)
                target = self.nodes[effect.address]
                self.at(delay, self.receive, target, effect.frame)

    def tick_generations(self, node):
        if not self.is_current(node) or self.defer_if_paused(
            node, self.tick_generations
        ):
            return
        node.exchange.update_live_nodes(node.protocol.live_nodes())
        effects = node.exchange.tick(node.clock(self.now))
        self.apply_exchange_effects(node, effects)
        self.at(TICK_S, self.tick_generations, node)

    def apply_exchange_effects(self, node, effects):
        for effect in effects:
            messages = []
            if isinstance(effect, SendTo):
                messages = [effect.message]
            elif isinstance(effect, Transfer):
                messages = list(effect.chunks)
            else:
                have = Have(effect.snapshot.generation)
                node.protocol.set_digest(TOPIC, encode_message(have))
            for message in messages:
                sent = node.protocol.message(
                    effect.node,
                    TOPIC,
                    encode_message(message),
                    node.clock(self.now),
                )
                if sent is not None:
                    self.transmit(node, sent)

    def publish(self, name):
        """Lets the platform accept a generation and tell one node."""
        self.generation += 1
        node = self.nodes[name]
        if self.now >= node.paused_until:
            node.exchange.update_live_nodes(node.protocol.live_nodes())
            self.apply_exchange_effects(
                node, node.exchange.offer(snapshot(self.generation))
            )

    def tick_lease(self, node):
        if not self.is_current(node) or self.defer_if_paused(
            node, self.tick_lease
        ):
            return
        action = None
        if not node.busy:
            action = node.lease.action(node.clock(self.now))
        if action is not None:
            node.busy = True
            self.call(node, action)
        self.at(0.05, self.tick_lease, node)

    def call(self, node, action):
        delay = self.rng.uniform(0.002, 0.01) + self.platform_slow
        if node.name in self.platform_cut:
            self.at(0.7, self.answer, node, "unanswered", None)
        else:
            self.at(delay, self.serve, node, action, delay)

    def serve(self, node, action, delay):
        version, row = self.row
        if isinstance(action, ReadRow):
            outcome = "observed", (version, row)
        elif action.version != version:
            outcome = "refused", (version, row)
        else:
            self.row = version + 1, action.value
            outcome = "confirmed", (version + 1,)
        if self.rng.random() < self.answers_lost:
            outcome = "unanswered", ()
        self.at(delay, self.answer, node, *outcome)

    def answer(self, node, outcome, args):
        if not self.is_current(node) or self.defer_if_paused(
            node, self.answer, outcome, args
        ):
            return
        node.busy = False
        report = getattr(node.lease, outcome)
        report(*(args or ()), node.clock(self.now))

    def acting(self):
        """Returns the nodes that would give an order at this moment."""
        return [
            node
            for node in self.nodes.values()
            if node.lease.epoch(node.clock(self.now)) is not None
        ]

    def check_holders(self):
        acting = self.acting()
        assert len(acting) <= 1, [node.name for node in acting]
        for node in acting:
            epoch = node.lease.epoch(node.clock(self.now))
            owner = self.epoch_owner.setdefault(epoch, node)
            assert owner is node, f"epoch {epoch} has two holders"

    def heal(self):
        self.cuts.clear()
        self.platform_cut.clear()
        self.loss = self.platform_slow = self.answers_lost = 0.0
        for node in self.nodes.values():
            node.paused_until = min(node.paused_until, self.now)

    def disagreements(self):
        found = []
        for node in self.nodes.values():
            known = set(node.protocol.live_nodes())
            # At most two nodes of another zone are known. Only the zone of the
            # candidates has more than two.
            own_zone = {n for n, z in ZONES.items() if z == node.zone}
            if not own_zone <= known or {ZONES[n] for n in known} != set("abc"):
                found.append((node.name, sorted(known)))
            if node.generation != self.highest():
                found.append((node.name, node.generation))
        if len(self.acting()) != 1:
            found.append([node.name for node in self.acting()])
        return found

    def highest(self):
        return max(node.generation for node in self.nodes.values())


class FleetMachine(RuleBasedStateMachine):
    """Injects faults in any order, then heals them and checks agreement."""

    @initialize(seed=strategies.integers(0, 2**32))
    def begin(self, seed):
        self.world = World(random.Random(seed))
        self.lowest = dict.fromkeys(ZONES, 0)
        self.world.run(10.0)

    @rule(seconds=strategies.floats(0.01, 8.0))
    def pass_time(self, seconds):
        self.world.run(seconds)

    @rule(sender=NODES, receiver=NODES)
    def cut_one_way(self, sender, receiver):
        self.world.cuts.add((sender, receiver))

    @rule(zone=strategies.sampled_from("abc"))
    def cut_off_zone(self, zone):
        for one, other in itertools.permutations(ZONES, 2):
            if (ZONES[one] == zone) != (ZONES[other] == zone):
                self.world.cuts.add((one, other))

    @rule(loss=strategies.floats(0.0, 0.5))
    def lose_messages(self, loss):
        self.world.loss = loss

    @rule(node=NODES, seconds=strategies.floats(0.1, 10.0))
    def pause(self, node, seconds):
        world = self.world
        world.nodes[node].paused_until = world.now + seconds

    @rule(node=NODES)
    def restart_under_the_same_address(self, node):
        self.world.start(node)
        self.lowest[node] = 0

    @rule(node=NODES)
    def publish(self, node):
        self.world.publish(node)

    @rule(node=NODES)
    def cut_from_platform(self, node):
        self.world.platform_cut.add(node)

    @rule(slow=strategies.floats(0.0, 0.6), lost=strategies.floats(0.0, 0.7))
    def impair_platform(self, slow, lost):
        self.world.platform_slow = slow
        self.world.answers_lost = lost

    @rule()
    def heal(self):
        self.world.heal()

    @rule(node=strategies.sampled_from(CANDIDATES))
    def stop_gracefully(self, node):
        world = self.world
        leaving = world.nodes[node]
        if world.now < leaving.paused_until:
            return
        leaving.lease.release()
        world.run(1.0)
        world.apply_effects(
            leaving, leaving.protocol.leave(leaving.clock(world.now))
        )
        world.start(node)
        self.lowest[node] = 0

    @invariant()
    def no_generation_goes_down(self):
        for name, node in getattr(self, "world", World).nodes.items():
            assert node.generation >= self.lowest[name]
            self.lowest[name] = node.generation

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.heal()
        self.world.run(CONVERGENCE_S)
        assert self.world.disagreements() == []
        self.no_generation_goes_down()


# Each example takes long, so only a third of the profile's number of examples
# is run, also when fuzzing.
FleetMachine.TestCase.settings = settings(
    max_examples=settings().max_examples // 3,
    stateful_step_count=20,
    # Shrinking would take minutes. The seed and the steps are printed anyway.
    phases=[Phase.generate],
)
TestFleet = FleetMachine.TestCase
