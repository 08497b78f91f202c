"""Checks what mangofold-explain tells of a request."""

import subprocess
import sys
import unittest

TOOL = sys.argv.pop(1)


def line(second, entry, event, **fields):
    rest = "".join(f',"{name}":' + (f'"{value}"' if isinstance(value, str)
                                    else str(value))
                   for name, value in fields.items())
    return (f'  {second} {entry} {{"at":"2026-01-01T10:00:{second:02}.000'
            f'+00:00","level":"info","role":"entry","id":"{entry}",'
            f'"event":"{event}"{rest}}}\n')


LOG = "".join([
    line(1, "e1", "target_listed", target="t1", state="serving"),
    line(9, "e2", "service_gathered", service="rank", waiting_pieces=900),
    line(10, "e1", "request_refused", request="abc1", why="stages_late",
         target="", status=503),
    line(10, "e1", "request_refused", request="def2", why="target_silent",
         target="t1", status=504),
    line(10, "e1", "attempt_lost", request="def2", content="c0", target="t1"),
    line(11, "e1", "source_lost", revision=3),
    line(20, "e3", "content_quarantined", content="c0", targets="t1,t2,t3"),
    line(21, "e3", "request_refused", request="hhh1", why="quarantined",
         target="", status=503, content="c0"),
    line(30, "e2", "attempt_lost", request="fff9", content="c0", target="t7"),
    line(30, "e2", "attempt_lost", request="ggg9", content="c1", target="t8"),
    line(40, "e2", "service_gathered", service="rank", waiting_pieces=1),
    '{"at":"2026-01-01T10:00:41.000+00:00","level":"in'])


def explain(request):
    return subprocess.run([sys.executable, TOOL, request], input=LOG,
                          capture_output=True, text=True, check=False)


class ExplainTest(unittest.TestCase):
    def test_late_stages_show_what_waited_then(self):
        told = explain("abc").stdout
        self.assertIn("could not be made in time", told)
        self.assertIn("waiting_pieces 900", told)
        self.assertNotIn("waiting_pieces 1\n", told)

    def test_a_silent_target_shows_its_history(self):
        told = explain("def2").stdout
        self.assertIn("may have run", told)
        self.assertIn("target_listed", told)
        self.assertIn("source_lost", told)

    def test_the_same_request_under_other_ids_is_shown(self):
        told = explain("def2").stdout
        self.assertIn("target t7", told)
        self.assertNotIn("target t8", told)

    def test_a_quarantined_request_shows_the_targets_that_ended(self):
        told = explain("hhh1").stdout
        self.assertIn("several targets ended under it", told)
        self.assertIn("targets t1,t2,t3", told)
        self.assertIn("request def2", told)

    def test_an_unknown_request_is_said(self):
        done = explain("zzz")
        self.assertEqual(done.returncode, 1)
        self.assertIn("no line of request zzz", done.stderr)


if __name__ == "__main__":
    unittest.main()
