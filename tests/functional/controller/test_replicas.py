from tests.lib.controller_fakes import Site, make_deployment, make_document


class TestReplicas:
    async def test_a_deployment_comes_to_strength_over_three_zones(self):
        site = Site()
        await site.rounds(site.controller("n1"), 40)
        zones = sorted(item.offer.zone for item in site.world.live())
        assert zones == ["z1", "z1", "z2", "z2", "z3", "z3"]
        assert site.ready() == 6
        assert {row["state"] for row in site.kept()} == {"ready"}

    async def test_a_reclaimed_zone_is_replaced_elsewhere_before_it_goes(self):
        site = Site()
        leader = site.controller("n1")
        await site.rounds(leader, 40)
        site.world.reclaim_zone("z1", 30.0)
        site.world.full.add(("z1", True))
        await site.rounds(leader, 6)
        assert site.world.take_zone("z1") == 0
        await site.rounds(leader, 40)
        zones = sorted(item.offer.zone for item in site.world.live())
        assert zones == ["z2", "z2", "z2", "z2", "z3", "z3", "z3", "z3"]
        assert site.ready() == 8

    async def test_a_dropped_deployment_is_released_whole(self):
        site = Site()
        leader = site.controller("n1")
        await site.rounds(leader, 40)
        site.document = make_document(make_deployment(name="other", min_replicas=1))
        await site.rounds(leader, 40)
        names = {item.tags["deployment"] for item in site.world.live()}
        assert names == {"other"}
        assert {row["deployment"] for row in site.kept()} == {"other"}
