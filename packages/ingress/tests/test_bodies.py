"""Tests of the decoder and the reader of request bodies."""

import tracemalloc
import unittest

import builders
import hypothesis
from hypothesis import strategies

from balsamloom_ingress import chunks, errors

SETTINGS = hypothesis.settings(deadline=None, max_examples=300)
PIECES = strategies.sampled_from(
    [b"1\r\n", b"x\r\n", b"0\r\n", b"\r\n", b"5;a=b\r\n", b"hello\r\n"]
    + [b"A: b\r\n", b"ffffffffffffffff\r\n", b"-1\r\n", b" ", b"\n", b";"]
)
# What arrives at once.
PART_BYTES = 8_192


def split(data, positions):
    """Return data in the parts that end at some positions."""
    ends = sorted({min(each, len(data)) for each in positions} | {len(data)})
    parts = [data[a:b] for a, b in zip([0, *ends], ends, strict=False)]
    return [each for each in parts if each]


class ProperBodyTest(unittest.TestCase):
    """Guards against limits that refuse or change a proper body."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.binary(min_size=1, max_size=40)),
        strategies.lists(strategies.integers(0, 2_000)),
        strategies.binary(max_size=9),
    )
    def test_any_chunks_in_any_parts_are_the_body(self, data, ends, rest):
        hypothesis.assume(len(b"".join(data)) <= 1_000)
        received = builders.chunked(*data) + rest
        source = builders.ByteSource(*split(received, ends))
        self.assertEqual(builders.reader(source).read(), b"".join(data))
        size = len(received) - len(rest)
        self.assertEqual(source.read_bytes, size)

    def test_largest_body_in_chunks_of_one_byte(self):
        body = builders.chunked(*[b"x"] * builders.LIMITS.data_bytes)
        for size in (1, 7, 4_000):
            parts = [body[a : a + size] for a in range(0, len(body), size)]
            source = builders.ByteSource(*parts)
            found = builders.reader(source).read()
            self.assertEqual(found, b"x" * builders.LIMITS.data_bytes)

    def test_extensions_and_trailers_are_dropped(self):
        body = b"3;a=b\r\nabc\r\n000\r\nA: b\r\nC:\r\n\r\n"
        source = builders.ByteSource(body)
        self.assertEqual(builders.reader(source).read(), b"abc")

    def test_body_with_a_length_ends_there(self):
        source = builders.ByteSource(b"ab", b"cdef")
        self.assertEqual(builders.reader(source, 3).read(), b"abc")
        self.assertEqual(source.read(9), b"def")


class LimitTest(unittest.TestCase):
    """Guards against bodies that fill the memory or never end."""

    ENDLESS = {
        "chunk size": (b"", b"0"),
        "extension": (b"1;", b"x"),
        "trailer": (b"0\r\nA: ", b"x"),
        "trailers": (b"0\r\n", b"A: b\r\n"),
        "extensions": (b"", b"1;%s\r\nx\r\n" % (b"y" * 90)),
        "data": (b"", b"9\r\n123456789\r\n"),
    }

    def test_endless_parts_are_too_large(self):
        for name, (start, piece) in self.ENDLESS.items():
            parts = [piece * 100] * 1_000
            source = builders.ByteSource(start, *parts)
            with self.subTest(name):
                with self.assertRaises(errors.BodyTooLargeError):
                    builders.reader(source).read()
                self.assertLess(source.read_bytes, 30_000)

    def test_huge_chunk_is_refused_before_it_is_read(self):
        source = builders.ByteSource(b"3e9\r\n", b"x" * 1_001)
        with self.assertRaises(errors.BodyTooLargeError):
            builders.reader(source).read()
        self.assertEqual(source.read_bytes, 0)

    def test_malformed_bodies(self):
        for body in (
            b"+1\r\nx\r\n0\r\n\r\n",
            b"0x1\r\nx\r\n0\r\n\r\n",
            b"1_0\r\n",
            b"-1\r\n",
            b"1\nx\n0\n\n",
            b"1\r\nxy\r\n0\r\n\r\n",
            b"\r\n",
            b"0\r\n folded\r\n\r\n",
            b"0\r\nno colon\r\n\r\n",
            b"1\r\nx\r\n0\r\n",
            b"1\r\n",
        ):
            with (
                self.subTest(body),
                self.assertRaises(errors.MalformedBodyError),
            ):
                builders.reader(builders.ByteSource(body)).read()

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=20) | PIECES, max_size=40),
        strategies.integers(1, 400),
    )
    def test_memory_stays_bounded_whatever_arrives(self, pieces, repeats):
        parts = [each * repeats for each in pieces if each]
        tracemalloc.start()
        try:
            decoder, data = chunks.ChunkDecoder(builders.LIMITS), bytearray()
            for part in parts:
                for start in range(0, len(part), PART_BYTES):
                    if not decoder.is_complete:
                        decoder.feed(part[start : start + PART_BYTES], data)
        except errors.BodyError:
            pass
        finally:
            peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        self.assertLessEqual(len(data), builders.LIMITS.data_bytes)
        self.assertLess(peak_bytes, 8 * PART_BYTES)

    def test_body_takes_its_length_before_it_is_read(self):
        memory = builders.account(2_000)
        source = builders.ByteSource(b"x" * 600)
        builders.reader(source, 600, memory=memory).read()
        waiting = builders.ByteSource(b"x" * 900)
        with self.assertRaises(errors.ShedError):
            builders.reader(waiting, 900, memory=memory).read()
        self.assertEqual(waiting.read_bytes, 0)

    def test_skipped_body_takes_no_memory(self):
        memory = builders.account(0)
        for body, length in ((builders.chunked(b"abc"), None), (b"abc", 3)):
            source = builders.ByteSource(body)
            builders.reader(source, length, memory=memory).skip()
            self.assertEqual(source.read_bytes, len(body))
        self.assertEqual(memory.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
