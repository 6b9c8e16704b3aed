"""Build members of a fleet and endpoints for tests of paths."""

from pomelopass.fleet import member
from pomelopass.registry import endpoint as endpoints

__all__ = ['make_endpoint', 'make_member', 'make_state']


def make_member(
    name: str, availability_zone: str = 'north', incarnation: str = '1'
) -> member.Member:
    """Return an instance that accepts work."""
    return member.Member(
        *(name, incarnation, availability_zone),
        *(f'{name}:1', f'{name}:2', True, 1, {}),
    )


def make_endpoint(
    endpoint_id: str, is_draining: bool = False, **version_by_model: int
) -> endpoints.Endpoint:
    """Return the entry of an endpoint of the service desk."""
    return endpoints.Endpoint(
        *(endpoint_id, 'desk', f'{endpoint_id}:1', 'north', 8),
        *(is_draining, version_by_model, 1),
    )


def make_state(
    endpoint_id: str, **version_by_model: int
) -> endpoints.EndpointState:
    """Return the state of an endpoint with its weight versions."""
    return endpoints.EndpointState(
        make_endpoint(endpoint_id, **version_by_model),
        version_by_model=dict(version_by_model),
    )
