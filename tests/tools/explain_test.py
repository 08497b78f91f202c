"""Checks the output of mangofold-explain for requests of a sample log."""

import subprocess
import sys
import unittest

TOOL = sys.argv.pop(1)


def log_line(second, entry, event, **fields):
    extra = "".join(f',"{name}":' + (f'"{value}"' if isinstance(value, str)
                                     else str(value))
                    for name, value in fields.items())
    return (f'  {second} {entry} {{"at":"2026-01-01T10:00:{second:02}.000'
            f'+00:00","level":"info","role":"entry","id":"{entry}",'
            f'"event":"{event}"{extra}}}\n')


LOG = "".join([
    log_line(1, "e1", "target_listed", target="t1", state="serving"),
    log_line(9, "e2", "service_gathered", service="rank", waiting_pieces=900),
    log_line(10, "e1", "request_refused", request="abc1", why="stages_late",
             target="", status=503),
    log_line(10, "e1", "request_refused", request="iii1", why="overloaded",
             target="", status=503),
    log_line(10, "e1", "request_refused", request="def2", why="target_silent",
             target="t1", status=504),
    log_line(10, "e1", "attempt_lost", request="def2", content="c0",
             target="t1"),
    log_line(11, "e1", "source_lost", revision=3),
    log_line(20, "e3", "content_quarantined", content="c0",
             targets="t1,t2,t3"),
    log_line(21, "e3", "request_refused", request="hhh1", why="quarantined",
             target="", status=503, content="c0"),
    log_line(30, "e2", "attempt_lost", request="fff9", content="c0",
             target="t7"),
    log_line(30, "e2", "attempt_lost", request="ggg9", content="c1",
             target="t8"),
    log_line(40, "e2", "service_gathered", service="rank", waiting_pieces=1),
    '{"at":"2026-01-01T10:00:41.000+00:00","level":"in'])


def explain(request):
    return subprocess.run([sys.executable, TOOL, request], input=LOG,
                          capture_output=True, text=True, check=False)


class ExplainTest(unittest.TestCase):
    def test_late_stages_show_pieces_waiting_at_that_time(self):
        output = explain("abc").stdout
        self.assertIn("could not be computed in time", output)
        self.assertIn("waiting_pieces 900", output)
        self.assertNotIn("waiting_pieces 1\n", output)

    def test_an_overloaded_request_shows_pieces_waiting_at_that_time(self):
        # Without them, nothing shows which service had no capacity.
        output = explain("iii").stdout
        self.assertIn("none of them was started", output)
        self.assertIn("waiting_pieces 900", output)
        self.assertNotIn("waiting_pieces 1\n", output)

    def test_a_silent_target_shows_the_lines_of_target_and_entry(self):
        output = explain("def2").stdout
        self.assertIn("may have run", output)
        self.assertIn("target_listed", output)
        self.assertIn("source_lost", output)

    def test_requests_with_the_same_content_are_shown(self):
        output = explain("def2").stdout
        self.assertIn("target t7", output)
        self.assertNotIn("target t8", output)

    def test_a_quarantined_request_shows_the_ended_targets(self):
        output = explain("hhh1").stdout
        self.assertIn("several targets ended while they ran it", output)
        self.assertIn("targets t1,t2,t3", output)
        self.assertIn("request def2", output)

    def test_an_unknown_request_is_an_error(self):
        process = explain("zzz")
        self.assertEqual(process.returncode, 1)
        self.assertIn("no line of request zzz", process.stderr)


if __name__ == "__main__":
    unittest.main()
