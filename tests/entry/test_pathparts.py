"""Test how the paths of an instance are wired."""

import random

from pomelopass.entry import pathparts
from pomelopass.fleet import member
from pomelopass.registry import registry as registries
from pomelopass.wire.gen.tunnels import ttypes
from tests import pathbuilders


class Links:
    """Port that keeps what to call for an endpoint that leaves."""

    read = None

    def set_on_leaving(self, on_leaving):
        self.on_leaving = on_leaving


def test_no_tunnel_opens_to_an_endpoint_that_said_it_leaves():
    registry = registries.Registry(lambda event: None)
    target = pathbuilders.make_endpoint('e0')
    registry.put(target)
    links = Links()
    parts = pathparts.build_path_parts(
        'north',
        links,
        Links(),
        member.Membership('own'),
        registry,
        lambda: False,
        random.Random(1),
        lambda event: None,
    )
    assert parts.tunnels.check('e0') is None
    links.on_leaving(target)
    assert parts.tunnels.check('e0') == ttypes.TunnelOutcome.NOT_OFFERED
