"""Decode registry entries and reports of endpoints."""

from typing import Literal

import pydantic
from returns import result

from .. import decoding
from ..registry import endpoint

__all__ = ['decode_endpoint', 'decode_report']


class _Model(decoding.CheckedModel):
    name: str
    version: decoding.Count = 0


class _Entry(decoding.CheckedModel):
    model_config = pydantic.ConfigDict(strict=True)

    service: str
    address: decoding.Address
    zone: str
    slots: decoding.Count
    state: Literal['ready', 'draining']
    models: list[_Model] = []
    born: decoding.Int64 = 0
    # Of the endpoint's software, not of weights.
    version: str = ''
    spot: bool = False
    leaves_ms: decoding.FiniteFloat | None = None


class _Report(decoding.CheckedModel):
    models: list[_Model] = []
    busy: bool = False
    seq: decoding.Int64 = 0
    in_flight: decoding.Int64 = 0
    queue_depth: decoding.Int64 = 0
    born: decoding.Int64 = 0


def decode_endpoint(
    endpoint_id: str, value: bytes
) -> result.Result[endpoint.Endpoint, str]:
    """Return the endpoint, or why its entry is invalid."""
    try:
        entry = _Entry.model_validate_json(value)
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors()[0]['msg']))
    if not decoding.fits_header(endpoint_id):
        return result.Failure('The id does not fit a header')
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
            is_spot=entry.spot,
            leaves_ms=entry.leaves_ms,
        )
    )


def decode_report(value: bytes) -> result.Result[_Report, str]:
    """Return the report of an endpoint, or why it is invalid."""
    try:
        return result.Success(_Report.model_validate_json(value))
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors()[0]['msg']))
