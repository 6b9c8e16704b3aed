"""Prove whole and own answers with real processes."""

from scripts import probe
from standins import enginetext

MAX_TOKENS = 16


def test_truncated_and_mixed_up_answers_are_never_passed_on(running):
    first = running.get_entries()[0]
    running.set_faults('part-engines-0', truncate=3, mix_up=3, end_early=2)
    running.set_faults('order-desk-0', mix_up=2)
    whole = 0
    for index in range(12):
        prompt = f'prompt {index}'
        ask = {
            'model': 'part-matching',
            'prompt': prompt,
            'max_tokens': MAX_TOKENS,
        }
        status, body = probe.call(
            first.address, 'POST', '/v1/completions', ask
        )
        if status == 200:
            whole += 1
            tokens = enginetext.make_tokens(ask, prompt)
            assert body['choices'][0]['text'] == ''.join(tokens)
        target = f'/services/stock/stock?part={index}'
        status, body = probe.call(first.address, 'GET', target)
        if status == 200:
            assert body['asked'] == f'/stock?part={index}'
    assert whole > 0
