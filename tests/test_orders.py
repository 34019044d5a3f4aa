"""Tests of model orders to engines."""

import unittest
from dataclasses import replace

import httpx

from daleroad.loopback import Site
from daleroad.messages import EngineState
from daleroad.orders import DesiredModels, LoadBucket, OrderScheduler
from daleroad.records import ModelVersion, Order, Upstream
from tests.harness import SiteTest, get_json, wait_for

MODELS = (["narrator-1", "narrator-2"], ["drafting-1", "drafting-2"])


class OrderSchedulerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engine = Upstream("u", "http://u", "s", "z", 1000, 4, ("m1",))
        self.order = DesiredModels("u", ("m1", "m2"), 7)

    def make_scheduler(self) -> OrderScheduler:
        return OrderScheduler(10.0, 5.0, LoadBucket(1.0, 2.0))

    def list_due(self, scheduler: OrderScheduler, now: float) -> list[DesiredModels]:
        return list(scheduler.list_due([self.order], {"u": self.engine}, now))

    def test_a_new_leader_sends_nothing_during_the_lease_of_its_predecessor(self) -> None:
        scheduler = self.make_scheduler()
        self.assertEqual(self.list_due(scheduler, 14.9), [])

    def test_one_order_in_progress_per_engine_is_retried_until_the_state_matches(self) -> None:
        scheduler = self.make_scheduler()
        self.list_due(scheduler, 15.0)
        self.assertEqual(self.list_due(scheduler, 17.0), [self.order])
        self.assertEqual(self.list_due(scheduler, 17.5), [])
        self.assertFalse(scheduler.confirm(self.order, EngineState(7, ("m1",))))
        self.assertEqual(self.list_due(scheduler, 18.0), [])
        self.assertEqual(self.list_due(scheduler, 20.0), [self.order])
        self.assertTrue(scheduler.confirm(self.order, EngineState(7, ("m2", "m1"))))
        self.engine = replace(self.engine, models=("m1", "m2"))
        self.assertEqual(self.list_due(scheduler, 30.0), [])

    def test_model_loads_are_limited_by_the_token_bucket(self) -> None:
        bucket = LoadBucket(1.0, 2.0)
        self.assertFalse(bucket.take(1, 0.0))
        self.assertTrue(bucket.take(1, 1.0))
        self.assertFalse(bucket.take(2, 2.0))
        self.assertTrue(bucket.take(2, 3.0))
        self.assertFalse(bucket.take(1, 3.5))


class OrderTest(SiteTest):
    """Orders to two engines: one checks fencing numbers, the other ignores them."""

    def change_site(self, site: Site) -> Site:
        engines = [replace(e, checks_fencing=e.service == "narrator") for e in site.engines]
        control = tuple(replace(s, load_rate=2.0) for s in site.control)
        return replace(site, engines=tuple(engines), control=control)

    def get_state(self, index: int) -> dict:
        return get_json(f"http://{self.site.engines[index].address}/v1/state")

    def order(self, partner: str, engine: str, old: str, new: str) -> None:
        operator = self.make_operator(partner)
        service = engine.rpartition("-")[0]
        for record in (ModelVersion(new, partner, service), Order(engine, partner, (old, new))):
            answer = operator.put(record, 0)
            self.assertTrue(answer.accepted, answer)

    def test_an_order_is_settled_also_after_the_leader_is_killed(self) -> None:
        self.order("stoyanov", "narrator-0", "narrator-1", "narrator-2")
        self.order("tamarack", "drafting-models-0", "drafting-1", "drafting-2")
        self.processes.kill(self.find_leader().name)
        for index, models in enumerate(MODELS):
            wait_for(lambda p=index, m=models: self.get_state(p)["models"] == m, "the models")

    def test_an_old_fencing_number_is_refused_or_put_right_again(self) -> None:
        self.order("stoyanov", "narrator-0", "narrator-1", "narrator-2")
        self.order("tamarack", "drafting-models-0", "drafting-1", "drafting-2")
        for index, models in enumerate(MODELS):
            wait_for(lambda p=index, m=models: self.get_state(p)["models"] == m, "the models")
            stale = {"fencing": 1, "models": models[:1]}
            url = f"http://{self.site.engines[index].address}/v1/orders"
            answer = httpx.post(url, json=stale, trust_env=False)
            self.assertEqual(answer.status_code == 200, index == 1)
            wait_for(
                lambda p=index, m=models: self.get_state(p)["models"] == m, "the models restored"
            )
