"""Decode registry entries and reports of endpoints."""

from typing import Literal

import pydantic
from returns import result

from ..registry import endpoint

__all__ = ['decode_endpoint', 'decode_report']


class _Model(pydantic.BaseModel):
    name: str
    version: int = 0


class _Entry(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    service: str
    address: str
    zone: str
    slots: int
    state: Literal['ready', 'draining']
    models: list[_Model] = []
    born: int = 0
    # Of the endpoint's software, not of weights.
    version: str = ''


class _Report(pydantic.BaseModel):
    models: list[_Model] = []
    busy: bool = False
    seq: int = 0
    in_flight: int = 0
    queue_depth: int = 0


def decode_endpoint(
    endpoint_id: str, value: bytes
) -> result.Result[endpoint.Endpoint, str]:
    """Return the endpoint, or why its entry is invalid."""
    try:
        entry = _Entry.model_validate_json(value)
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors()[0]['msg']))
    host, _, port = entry.address.rpartition(':')
    if not host or not port.isdecimal():
        return result.Failure('The address is not IP:PORT')
    return result.Success(
        endpoint.Endpoint(
            id=endpoint_id,
            service=entry.service,
            address=entry.address,
            availability_zone=entry.zone,
            slots=entry.slots,
            is_draining=entry.state == 'draining',
            version_by_model={
                model.name: model.version for model in entry.models
            },
            started_at_ms=entry.born,
            software=entry.version,
        )
    )


def decode_report(value: bytes) -> result.Result[_Report, str]:
    """Return the report of an endpoint, or why it is invalid."""
    try:
        return result.Success(_Report.model_validate_json(value))
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors()[0]['msg']))
