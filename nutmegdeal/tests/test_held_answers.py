"""Answers that are held until they are whole, beside answers without end."""

from nutmegdeal.buffering.answers import SMALL_ANSWER_BYTES, AnswerBound

BYTES_MAX = 10 * SMALL_ANSWER_BYTES


def test_answers_without_end_do_not_fill_the_memory_of_the_process():
    bound = AnswerBound(BYTES_MAX)
    endless = [bound.open_answer() for _ in range(3)]
    held_bytes = 0
    for answer in 100 * endless:
        may_hold = answer.grow(SMALL_ANSWER_BYTES)
        held_bytes = max(held_bytes, bound.held_bytes)
        if not may_hold:
            answer.clear()
    assert BYTES_MAX < held_bytes <= BYTES_MAX + 3 * SMALL_ANSWER_BYTES


def test_small_answer_is_held_beside_answers_without_end():
    bound = AnswerBound(BYTES_MAX)
    endless = bound.open_answer()
    assert not endless.grow(2 * BYTES_MAX)
    assert bound.open_answer().grow(SMALL_ANSWER_BYTES)


def test_answer_that_has_ended_does_not_count():
    bound = AnswerBound(BYTES_MAX)
    answer = bound.open_answer()
    answer.grow(BYTES_MAX)
    del answer
    assert bound.open_answer().grow(BYTES_MAX)
