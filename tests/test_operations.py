"""The session on docs/OPERATIONS.md, run command by command."""

import shutil
import unittest

import sessions

PAGE = "OPERATIONS.md"


class OperationsTest(unittest.TestCase):
    """Guards against a page that tells operators what does not work."""

    def test_commands_do_what_the_page_shows(self):
        shell = sessions.Shell()
        self.addCleanup(shell.close)
        if shutil.which("curl") is None:
            shell.replace_curl()
        found = sessions.commands(PAGE)
        self.assertGreater(len(found), 30)
        for command in found:
            output, status = shell.run(command.text)
            self.assertEqual(status, command.status, command.text + output)
            self.assertEqual(
                sessions.normalize(output),
                sessions.normalize(command.output),
                command.text,
            )
