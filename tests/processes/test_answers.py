"""Test that replies are complete and match their requests."""

from scripts import probe
from standins import enginetext

MAX_TOKENS = 16


def test_truncated_and_mixed_up_replies_are_never_forwarded(running_fleet):
    entry = running_fleet.get_entries()[0]
    running_fleet.set_faults(
        'part-engines-0', truncate=3, mix_up=3, end_early=2
    )
    running_fleet.set_faults('order-desk-0', mix_up=2)
    complete_count = 0
    for index in range(12):
        prompt = f'prompt {index}'
        request_body = {
            'model': 'part-matching',
            'prompt': prompt,
            'max_tokens': MAX_TOKENS,
        }
        status, body = probe.call(
            entry.address, 'POST', '/v1/completions', request_body
        )
        if status == 200:
            complete_count += 1
            tokens = enginetext.make_tokens(request_body, prompt)
            assert body['choices'][0]['text'] == ''.join(tokens)
        target = f'/services/stock/stock?part={index}'
        status, body = probe.call(entry.address, 'GET', target)
        if status == 200:
            assert body['asked'] == f'/stock?part={index}'
    assert complete_count > 0
