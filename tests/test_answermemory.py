"""Test which answers are discarded when the memory of an instance is short."""

import pytest

from pomelopass import answermemory
from pomelopass import message
from pomelopass.requests import answerbody
from pomelopass.requests import call as calls

MIB = 1_048_576


def make_answer(pieces):
    async def make_chunks():
        for piece in pieces:
            yield piece

    reply = message.OpenReply(200, (), make_chunks(), 1)
    return calls.Answer(200, (), False, 's', None, None, reply)


def open_share(memory, owner, size):
    discarded = []
    share = memory.open(owner, lambda: discarded.append(owner))
    share.resize(size)
    return share, discarded


def test_largest_answer_of_the_owner_with_most_bytes_is_discarded():
    memory = answermemory.AnswerMemory(10 * MIB)
    sound, sound_discarded = open_share(memory, 'sound', 4 * MIB)
    faulty = [open_share(memory, 'faulty', size * MIB) for size in (2, 3)]
    grown, _ = open_share(memory, 'other', MIB)
    grown.resize(2 * MIB)
    assert [share.is_discarded for share, _ in faulty] == [False, True]
    assert faulty[1][1] == ['faulty']
    assert not sound_discarded and not sound.is_discarded
    assert memory.total == 8 * MIB


def test_answer_that_grows_beyond_all_others_fails_by_itself():
    memory = answermemory.AnswerMemory(MIB)
    share, _ = open_share(memory, 'a', MIB // 2)
    with pytest.raises(answermemory.AnswerDiscardedError):
        share.resize(2 * MIB)
    with pytest.raises(answermemory.AnswerDiscardedError):
        share.check()
    assert memory.total == 0
    share.reopen()
    share.resize(10)
    assert memory.total == 10


def test_small_answers_are_kept_whatever_others_send():
    memory = answermemory.AnswerMemory(MIB)
    kept, _ = open_share(memory, 'large', MIB)
    kept.discard = None
    small, _ = open_share(memory, 'small', 1000)
    small.resize(answermemory.MIN_DISCARDED_BYTES)
    assert not small.is_discarded


def test_answer_counts_as_long_as_its_share_exists():
    memory = answermemory.AnswerMemory(MIB)
    share, _ = open_share(memory, 'a', 1000)
    assert memory.total == 1000
    del share
    assert memory.total == 0


@pytest.mark.parametrize('rest', [[], [b'the end']])
async def test_body_that_was_discarded_is_no_body(rest):
    memory = answermemory.AnswerMemory(MIB)

    def make_pieces():
        yield b'x' * MIB
        # Another endpoint's bytes take the memory meanwhile.
        for share in list(memory.shares):
            share.drop()
        yield from rest

    with pytest.raises(calls.CallFailedError) as failure:
        await answerbody.read_body(make_answer(make_pieces()), memory, 'a')
    assert failure.value.kind == answerbody.DISCARDED
    assert failure.value.may_have_run


async def test_complete_body_is_kept_with_its_share():
    memory = answermemory.AnswerMemory(MIB)
    answer = make_answer([b'a', b'b'])
    body, share = await answerbody.read_body(answer, memory, 'a')
    assert body == b'ab'
    assert share.size == memory.total == 2


async def test_body_above_its_bound_fails():
    memory = answermemory.AnswerMemory(100 * MIB)
    pieces = [b'x' * MIB] * 9
    with pytest.raises(calls.CallFailedError) as failure:
        await answerbody.read_body(make_answer(pieces), memory, 'a')
    assert failure.value.kind == 'reply-too-large'
