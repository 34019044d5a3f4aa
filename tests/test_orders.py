"""Tests of orders to engines."""

import unittest
from dataclasses import replace

import httpx

from daleroad.loopback import Site
from daleroad.messages import EngineState
from daleroad.orders import LoadBucket, OrderBook, Wanted
from daleroad.records import ModelVersion, Order, Upstream
from tests.harness import SiteTest, get_json, wait_for

MODELS = (["narrator-1", "narrator-2"], ["drafting-1", "drafting-2"])


class OrdersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engine = Upstream("u", "http://u", "s", "z", 1000, 4, ("m1",))
        self.order = Wanted("u", ("m1", "m2"), 7)

    def make_book(self) -> OrderBook:
        return OrderBook(10.0, 5.0, LoadBucket(1.0, 2.0))

    def list_due(self, book: OrderBook, now: float) -> list[Wanted]:
        return list(book.list_due([self.order], {"u": self.engine}, now))

    def test_a_new_leader_waits_out_its_predecessor(self) -> None:
        book = self.make_book()
        self.assertEqual(self.list_due(book, 14.9), [])

    def test_one_order_under_way_and_read_back_until_it_matches(self) -> None:
        book = self.make_book()
        self.list_due(book, 15.0)
        self.assertEqual(self.list_due(book, 17.0), [self.order])
        self.assertEqual(self.list_due(book, 17.5), [])
        self.assertFalse(book.settle(self.order, EngineState(7, ("m1",))))
        self.assertEqual(self.list_due(book, 18.0), [])
        self.assertEqual(self.list_due(book, 20.0), [self.order])
        self.assertTrue(book.settle(self.order, EngineState(7, ("m2", "m1"))))
        self.engine = replace(self.engine, models=("m1", "m2"))
        self.assertEqual(self.list_due(book, 30.0), [])

    def test_loads_obey_the_weight_stores_limit(self) -> None:
        bucket = LoadBucket(1.0, 2.0)
        self.assertFalse(bucket.take(1, 0.0))
        self.assertTrue(bucket.take(1, 1.0))
        self.assertFalse(bucket.take(2, 2.0))
        self.assertTrue(bucket.take(2, 3.0))
        self.assertFalse(bucket.take(1, 3.5))


class OrderTest(SiteTest):
    """Orders to engines, of which one checks fencing numbers and the other ignores them."""

    def change_site(self, site: Site) -> Site:
        engines = [replace(e, checks_fencing=e.service == "narrator") for e in site.engines]
        control = tuple(replace(s, load_rate=2.0) for s in site.control)
        return replace(site, engines=tuple(engines), control=control)

    def get_state(self, place: int) -> dict:
        return get_json(f"http://{self.site.engines[place].address}/v1/state")

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
        for place, models in enumerate(MODELS):
            wait_for(lambda p=place, m=models: self.get_state(p)["models"] == m, "the models")

    def test_an_old_fencing_number_is_refused_or_put_right_again(self) -> None:
        self.order("stoyanov", "narrator-0", "narrator-1", "narrator-2")
        self.order("tamarack", "drafting-models-0", "drafting-1", "drafting-2")
        for place, models in enumerate(MODELS):
            wait_for(lambda p=place, m=models: self.get_state(p)["models"] == m, "the models")
            stale = {"fencing": 1, "models": models[:1]}
            url = f"http://{self.site.engines[place].address}/v1/orders"
            answer = httpx.post(url, json=stale, trust_env=False)
            self.assertEqual(answer.status_code == 200, place == 1)
            wait_for(lambda p=place, m=models: self.get_state(p)["models"] == m, "put right")
