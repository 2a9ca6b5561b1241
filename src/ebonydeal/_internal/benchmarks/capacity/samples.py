"""Sample values of realistic shape for measurements."""

from ebonydeal._internal.controller.values import InstanceRow, InstanceState
from ebonydeal._internal.models.endpoints import (
    EndpointKind,
    EndpointState,
    EndpointView,
    LoadReport,
)
from ebonydeal._internal.models.places import Place
from ebonydeal._internal.models.requests import Priority, Request, RequestKind
from ebonydeal._internal.outside.instances import EndpointMessage
from ebonydeal._internal.outside.interfaces import CloudInstance
from ebonydeal._internal.peers.membership import Member, MemberStatus

ZONES = 21
REGIONS = 6
_REPLICAS_PER_DEPLOYMENT = 100
_BODY_BYTES = 1500
_NOW = 1_800_000_000.0


def place(number: int) -> Place:
    """Return the place of the ``number``-th process or endpoint."""
    zone = number % ZONES
    return Place(f"region-{zone % REGIONS}", f"zone-{zone}")


def endpoint_message(number: int) -> EndpointMessage:
    """Return one entry of the instance list."""
    at_place = place(number)
    return EndpointMessage(
        endpoint_id=f"i-{number:012x}",
        incarnation=1,
        kind="engine",
        address=f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8000",
        region=at_place.region,
        zone=at_place.zone,
        deployment=f"deployment-{number // _REPLICAS_PER_DEPLOYMENT}",
        models=["covers-7b", "covers-7b-welsh"],
        state="ready",
        reclaimable=number % 2 == 0,
        evict_per_hour=0.05,
        price_per_hour=1.25,
    )


def endpoint_view(number: int) -> EndpointView:
    """Return one endpoint with a load report."""
    return EndpointView(
        endpoint_id=f"i-{number:012x}",
        incarnation=1,
        kind=EndpointKind.ENGINE,
        address=f"10.0.{number >> 8 & 255}.{number & 255}:8000",
        place=place(number),
        deployment="covers",
        models=("covers-7b",),
        state=EndpointState.READY,
        reclaimable=number % 2 == 0,
        evict_per_hour=0.05,
        price_per_hour=1.25,
        load=LoadReport(number % 16, 0, 16, 0.5, 40.0, _NOW),
    )


def member(number: int) -> Member:
    """Return one process of the system."""
    at_place = place(number)
    return Member(
        id=f"node-{number}",
        incarnation=int(_NOW * 1000) + number,
        heartbeat=0,
        status=MemberStatus.ALIVE,
        address=f"10.1.{number >> 8 & 255}.{number & 255}:9200",
        region=at_place.region,
        zone=at_place.zone,
        roles=("gateway", "journal"),
    )


def request(number: int) -> Request:
    """Return one accepted request with a body of typical size."""
    return Request(
        request_id=f"r-{number % 1024:04x}-{number:016x}",
        account="harbour",
        deployment="covers",
        kind=RequestKind.CHAT,
        method="POST",
        path="/v1/chat/completions",
        headers={"content-type": "application/json"},
        body=f"{number:016x}" * (_BODY_BYTES // 16),
        body_object="",
        body_digest=f"{number:032x}",
        key=f"key-{number}",
        idempotent=True,
        priority=Priority.STANDARD,
        accepted_at=_NOW,
        deadline=_NOW + 3600.0,
        prompt_tokens=300,
        max_tokens=200,
    )


def instance_row(number: int) -> InstanceRow:
    """Return the controller's record of one instance."""
    return InstanceRow(
        token=f"covers:{number:08x}",
        deployment="covers",
        zone=place(number).zone,
        machine_class="gpu-small",
        reclaimable=number % 2 == 0,
        state=InstanceState.READY,
        price_per_hour=1.25,
        instance_id=f"i-{number:012x}",
        epoch=1,
        at=_NOW,
        why="demand",
    )


def cloud_instance(number: int) -> CloudInstance:
    """Return the cloud's description of one instance."""
    return CloudInstance(
        instance_id=f"i-{number:012x}",
        token=f"covers:{number:08x}",
        zone=place(number).zone,
        machine_class="gpu-small",
        reclaimable=number % 2 == 0,
        state="running",
        address=f"10.0.{number >> 8 & 255}.{number & 255}:8000",
        started_at=_NOW,
        tags={"deployment": "covers"},
    )
