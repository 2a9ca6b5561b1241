"""Snapshot of offers, instances, endpoints and notices for one round."""

import asyncio
from collections import defaultdict
from typing import NamedTuple

from ebonydeal._internal.controller.notices import ReclaimNotices
from ebonydeal._internal.controller.values import (
    OfferKey,
    offers_by_key,
    tagged_deployment,
)
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.outside.interfaces import (
    Cloud,
    CloudInstance,
    InstanceList,
    Offer,
)


class PlatformSnapshot(NamedTuple):
    """State of the cloud and the instance list at one time, for all deployments.

    Attributes
    ----------
    offers : dict of OfferKey to Offer
        The cheapest of each (zone, class, market).
    instances : dict of str to dict of str to CloudInstance
        By the deployment that they are tagged with, then by token.
    endpoints : dict of str to EndpointView
        By instance id.
    own_nodes : frozenset of str
        Ids of ebonydeal's own processes that the platform lists; empty if the
        list could not be read.
    reclaim_notices : ReclaimNotices
        Instances and zones that will be reclaimed.
    """

    offers: dict[OfferKey, Offer]
    instances: dict[str, dict[str, CloudInstance]]
    endpoints: dict[str, EndpointView]
    own_nodes: frozenset[str]
    reclaim_notices: ReclaimNotices


async def take_snapshot(
    cloud: Cloud, instance_list: InstanceList, reclaim_notices: ReclaimNotices
) -> PlatformSnapshot:
    """Read the cloud and the instance list; raises if either can't be read."""
    offers, instances, endpoints, nodes = await asyncio.gather(
        cloud.offers(),
        cloud.instances(),
        instance_list.endpoints(),
        instance_list.own_nodes(),
    )
    by_deployment: dict[str, dict[str, CloudInstance]] = defaultdict(dict)
    for instance in instances:
        name = tagged_deployment(instance)
        if name is not None:
            by_deployment[name][instance.token] = instance
    return PlatformSnapshot(
        offers=offers_by_key(offers),
        instances=dict(by_deployment),
        endpoints={view.endpoint_id: view for view in endpoints},
        own_nodes=frozenset(name for name, _address in nodes),
        reclaim_notices=reclaim_notices,
    )
