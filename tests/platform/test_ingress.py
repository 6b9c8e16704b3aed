"""Test how the ingress answers requests of callers that fail inside."""

import pytest

from pomelopass import message
from pomelopass.platform import ingress as ingresses
from pomelopass.requests import stopgate


def make_ingress(get_configuration):
    return ingresses.Ingress(
        get_configuration,
        *(None, None, None, None, None),
        1.0,
        lambda event: None,
        stopgate.StopGate(),
        lambda: 0.0,
    )


# It would be answered, and explained, as if the instance stopped.
async def test_timeout_within_a_request_is_not_answered_as_a_stop():
    def get_configuration():
        raise TimeoutError

    ingress = make_ingress(get_configuration)
    with pytest.raises(TimeoutError):
        await ingress.handle(message.Request('POST', '/scores/1'))
