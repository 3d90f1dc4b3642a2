"""Guards against libraries of the command line in the memory of the daemon."""

import subprocess
import sys


def test_daemon_does_not_import_rich_or_cyclopts() -> None:
    """Structlog imports rich where it is installed, 4.5 MB in each process."""
    code = (
        "import sys, sycamoreproxy.composition, sycamoreproxy.logs;"
        "print(sorted({'rich', 'cyclopts'} & sys.modules.keys()));"
        "import rich.console"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
    )
    assert done.stdout.strip() == "[]"
