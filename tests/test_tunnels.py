"""Tests of gateways that clients reach and that reach no upstream themselves."""

import unittest

import anyio

from tests.cutsite import CONTACT_SECONDS, Site
from tools.cutnetwork import Cut

REQUESTS = 45
MIN_SERVED_SHARE = 0.9


class CutGatewayTest(unittest.TestCase):
    def test_gateway_that_reaches_no_upstream_serves_through_another(self) -> None:
        for number, cut in enumerate(Cut):
            with self.subTest(cut):
                anyio.run(self.check, f"127.{40 + number}", cut)

    async def check(self, network: str, cut: Cut) -> None:
        site = Site(network)
        async with site.run():
            await site.ask_many("gateway-0", 12)
            await site.cut_off(["gateway-0", "gateway-1"], cut)
            await anyio.sleep(CONTACT_SECONDS)
            answers = await site.ask_many("gateway-0", REQUESTS)
            others = await site.ask_many("gateway-2", 9)
        self.assertGreaterEqual(answers.count(200), MIN_SERVED_SHARE * REQUESTS, answers.statuses)
        self.assertEqual(others.count(200), 9)


if __name__ == "__main__":
    unittest.main()
