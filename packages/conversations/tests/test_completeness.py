"""Tests of what a storage host may say of its disk."""

import unittest

from balsamloom_conversations import completeness

ALL = completeness.EVERYTHING
NOTHING = completeness.NOTHING


def source(name, claim=ALL, is_read=True, is_up=True, fenced="abcd"):
    """Build another host as it was found in a round."""
    hosts = frozenset(fenced)
    return completeness.Source(name, is_read, is_up, claim, hosts)


def gone(name):
    """Build a host that is down."""
    return source(name, None, is_read=False, is_up=False)


def replacing(*names):
    """Build the claim of a host that replaced others."""
    return ALL._replace(replaced_hosts=frozenset(names))


def judge(own, *sources, copies=2, is_disk_old=False):
    return completeness.judge(own, sources, copies, is_disk_old)


class JudgeTest(unittest.TestCase):
    """Guards against statements that are not covered by what was read."""

    def test_all_that_any_host_has_was_read(self):
        # Two hosts that lost their disks one after the other may both lack
        # something that a third one has.
        self.assertEqual(
            judge(NOTHING, source("b", NOTHING), source("c")), ALL
        )
        self.assertEqual(judge(NOTHING), NOTHING)

    def test_host_out_of_reach_may_have_the_last_copy(self):
        for sources in (
            [source("b"), gone("c")],
            [source("b"), source("c", is_read=False)],
            [source("b", replacing("d")), gone("c"), gone("d")],
        ):
            found = judge(NOTHING, *sources)
            self.assertFalse(found.has_turns or found.has_usage, sources)

    def test_with_more_copies_one_host_may_be_out_of_reach(self):
        sources = [source("b"), source("c"), gone("d")]
        self.assertEqual(judge(NOTHING, *sources, copies=3), replacing("d"))
        # A host that lacks records itself vouches for none.
        for lacking in (NOTHING, None):
            sources[1] = source("c", lacking)
            found = judge(NOTHING, *sources, copies=3)
            self.assertEqual(found, NOTHING)

    def test_host_that_is_gone_is_replaced_by_what_the_others_had(self):
        self.assertEqual(judge(ALL, source("b"), gone("c")), replacing("c"))
        # The host that has not answered lately may be back soon.
        late = source("c", None, is_read=False)
        self.assertEqual(judge(ALL, source("b"), late), ALL)

    def test_none_is_replaced_beside_a_host_that_lacks_entries(self):
        # review/14: the host that came back empty counted as read.
        for lacking in (NOTHING, None):
            found = judge(ALL, source("b", lacking), gone("c"))
            self.assertEqual(found, ALL)
        self.assertEqual(judge(ALL, gone("b"), gone("c")), ALL)

    def test_replacements_are_taken_over_from_hosts_that_lack_nothing(self):
        found = judge(NOTHING, source("b", replacing("c")), gone("c"))
        expected = NOTHING._replace(
            has_usage=True, replaced_hosts=frozenset("c")
        )
        self.assertEqual(found, expected)
        lacking = replacing("c")._replace(has_usage=False)
        self.assertEqual(
            judge(NOTHING, source("b", lacking), gone("c")), NOTHING
        )

    def test_replaced_host_that_is_back_counts_again(self):
        found = judge(replacing("c"), source("b", replacing("c")), source("c"))
        self.assertEqual(found, ALL)

    def test_nothing_can_be_missing_on_an_old_disk(self):
        found = judge(NOTHING, gone("b"), gone("c"), is_disk_old=True)
        self.assertEqual(found, ALL)

    def test_none_is_replaced_beside_a_host_that_has_not_fenced_it(self):
        found = judge(ALL, source("b", fenced=""), gone("c"))
        self.assertEqual(found, ALL)

    def test_hosts_that_went_one_after_the_other_are_replaced(self):
        sources = [source("b"), gone("c"), gone("d")]
        self.assertEqual(judge(ALL, *sources), ALL)
        self.assertEqual(judge(replacing("c"), *sources), replacing("c", "d"))
        # Nothing is left of what one that is long gone had.
        sources[1] = sources[1]._replace(is_long_gone=True)
        self.assertEqual(judge(ALL, *sources), replacing("d"))
        self.assertEqual(judge(replacing("d"), *sources), replacing("c", "d"))


class ReplaceableTest(unittest.TestCase):
    """Guards against fences that no replacement can follow."""

    def replaceable(self, own, *sources):
        return completeness.replaceable(own, sources, 2)

    def test_one_host_is_down(self):
        hosts = source("b"), gone("c")
        self.assertEqual(self.replaceable(ALL, *hosts), frozenset("c"))
        self.assertEqual(self.replaceable(NOTHING, *hosts), frozenset())

    def test_half_of_the_hosts_is_out_of_reach(self):
        # Both halves would fence each other, and no write would count.
        hosts = source("b"), gone("c"), gone("d")
        self.assertEqual(self.replaceable(ALL, *hosts), frozenset())
        self.assertEqual(
            self.replaceable(replacing("c"), *hosts), frozenset("d")
        )


class FencesTest(unittest.TestCase):
    """Guards against fences that are lost or stay for ever."""

    def test_fences_for_others_count(self):
        fences = completeness.Fences(True)
        for name, fenced in (("a", "d"), ("b", "cd"), ("c", "a")):
            fences = fences.with_host(name, frozenset(fenced))
        self.assertEqual(fences.of("b"), frozenset("cd"))
        self.assertEqual(fences.hosts("c"), frozenset("cd"))
        fences = fences.with_host("b", frozenset())
        self.assertEqual(fences.hosts("c"), frozenset("d"))


if __name__ == "__main__":
    unittest.main()
