"""Tests of the checks on messages between hosts and granters."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from balsamloom_quotas import messages, programs

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
COUNTS = strategies.integers(0, messages.MAX_TOKENS)
NAMES = strategies.text(min_size=1, max_size=8)
ENTRIES = strategies.builds(
    messages.Entry, NAMES, COUNTS, COUNTS, COUNTS, strategies.booleans()
)
AMOUNTS = strategies.floats(0, 1e6)
RATES = strategies.builds(programs.Rates, AMOUNTS, AMOUNTS)
ASKS = strategies.builds(
    messages.LeaseRequest,
    NAMES,
    NAMES,
    COUNTS,
    COUNTS,
    strategies.lists(NAMES).map(tuple),
    strategies.lists(ENTRIES).map(tuple),
    rates=strategies.dictionaries(NAMES, RATES),
    was_leased=strategies.booleans(),
)
ANSWERS = strategies.builds(
    messages.Answer,
    strategies.booleans(),
    strategies.dictionaries(NAMES, COUNTS),
    strategies.dictionaries(NAMES, strategies.integers(0, 10_000)),
    strategies.lists(NAMES).map(tuple),
    shares=strategies.dictionaries(NAMES, AMOUNTS),
)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=5)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=8,
)


def passed_on(body):
    """Return a message as it arrives."""
    return json.loads(json.dumps(body))


class MessageTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(ASKS)
    def test_a_request_arrives_as_it_was_sent(self, request):
        body = passed_on(messages.encode_request(request))
        self.assertEqual(messages.decode_request(body), request)

    @SETTINGS
    @hypothesis.given(ANSWERS)
    def test_an_answer_arrives_as_it_was_sent(self, answer):
        body = passed_on(messages.encode_answer(answer))
        self.assertEqual(messages.decode_answer(body), answer)

    @SETTINGS
    @hypothesis.given(ASKS, ANSWERS, VALUES, strategies.data())
    def test_damage_is_a_typed_error(self, request, answer, value, data):
        for body, decode in (
            (messages.encode_request(request), messages.decode_request),
            (messages.encode_answer(answer), messages.decode_answer),
        ):
            field = data.draw(strategies.sampled_from(sorted(body)))
            for damaged in (value, body | {field: value}):
                try:
                    decode(damaged)
                except messages.InvalidMessageError:
                    pass

    def test_negative_and_huge_counts_are_refused(self):
        entry = messages.Entry("w", 1, 0, 0, False)
        request = messages.LeaseRequest("h", "r", 1, 0, (), (entry,))
        for place in (1, 2, 3):
            for count in (-1, messages.MAX_TOKENS + 1, 1.5, True, "1"):
                body = messages.encode_request(request)
                body["entries"][0][place] = count
                with (
                    self.subTest(place=place, count=count),
                    self.assertRaises(messages.InvalidMessageError),
                ):
                    messages.decode_request(body)


if __name__ == "__main__":
    unittest.main()
