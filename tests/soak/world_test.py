"""Tests of what the soak's stand-ins do when targets leave and crash."""

import asyncio
import unittest
from unittest import mock

import world


def target_of(platform):
    target = mock.Mock(id="t1", address="host:1", service="rank", zone="a")
    platform.targets.append(target)
    return target


@mock.patch.multiple(world, HEARTBEAT_S=0.01, DRAIN_S=0.01)
class LeavingTargetTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.platform = object.__new__(world.PlatformStandin)
        self.platform.targets = []
        self.platform.leaving = set()
        self.platform.keepers = None
        self.platform.store = mock.Mock()
        self.platform.log = mock.Mock(results={})
        self.platform.proxies = {"host:1": mock.Mock()}
        self.platform.add_target = mock.AsyncMock()

    async def test_a_target_that_crashes_while_it_is_replaced_has_left(self):
        """Guards against a soak that ends with an error of its own."""
        target = target_of(self.platform)
        replacing = asyncio.create_task(self.platform.replace(target, {}))
        await asyncio.sleep(0)
        await asyncio.gather(replacing, self.platform.crash(target, 0))
        self.assertEqual(self.platform.targets, [])
        self.platform.add_target.assert_awaited_once()

    async def test_a_target_that_leaves_while_it_is_down_is_not_replaced(self):
        """Guards against a crash that is lost in an error of its task."""
        target = target_of(self.platform)
        crash = asyncio.create_task(self.platform.crash(target, 0))
        await asyncio.sleep(0)
        await self.platform.leave(target)
        self.assertIsNone(await crash)
        self.assertEqual(self.platform.targets, [])
        self.platform.add_target.assert_not_awaited()


if __name__ == "__main__":
    unittest.main()
