"""Reads the report that a Criterion test program writes with --json.

Prints "passed N" and a line "failed SUITE/NAME" for each test that neither passed nor was skipped.
Exit codes: 0 the report is complete, 1 it cannot be read or its numbers do not match its tests.
"""

import json
import pathlib
import re
import sys

# Criterion writes the text of an assertion without escaping its quotes.
MESSAGES = re.compile(r'("messages": \[).*?(\n *\]\n *\})', re.DOTALL)


class ReportError(Exception):
    pass


def read(text):
    """Returns the number of passed tests and the names of the failed ones."""
    try:
        report = json.loads(MESSAGES.sub(r"\1\2", text))
        tests = [(suite["name"] + "/" + test["name"], test["status"])
                 for suite in report["test_suites"] for test in suite["tests"]]
        passed, lost = report["passed"], report["failed"] + report["errored"]
    except (ValueError, KeyError, TypeError) as error:
        raise ReportError(str(error)) from error
    failed = [name for name, status in tests if status not in ("PASSED", "SKIPPED")]
    if bool(failed) != bool(lost) or sum(status == "PASSED" for _, status in tests) != passed:
        raise ReportError("the numbers do not match the tests")
    return passed, failed


def main():
    try:
        passed, failed = read(pathlib.Path(sys.argv[1]).read_text(encoding="utf-8", errors="replace"))
    except (OSError, ReportError) as error:
        print(error, file=sys.stderr)
        return 1
    print("passed", passed)
    for name in failed:
        print("failed", name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
