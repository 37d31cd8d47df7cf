"""Tests of descriptions of errors."""

import json
import unittest

from balsamloom_gateway import failures


class PlaceTest(unittest.TestCase):
    """Guards against log lines that do not tell where a loop failed."""

    def test_place_names_module_and_line(self):
        try:
            json.loads("{")
        except ValueError as error:
            place = failures.place(error)
        self.assertRegex(place, r"^test_failures:\d+ > .*decoder:\d+$")


if __name__ == "__main__":
    unittest.main()
