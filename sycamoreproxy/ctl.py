"""The operators' command line, ``sycamorectl``; the daemon never imports it."""

from __future__ import annotations

import contextlib
import json
import os
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any, Literal

from cyclopts import App, Parameter
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from sycamoreproxy import __version__
from sycamoreproxy._admin_client import AdminClient, CommandError, ExitStatus

#: Time between two questions while a command waits for a revision, in seconds.
_WAIT_PAUSE_S = 0.5
#: Width of tables that do not go to a terminal, so that no cell is cut.
_PIPE_WIDTH = 240

app = App(
    name="sycamorectl",
    version=__version__,
    help_format="markdown",
    help="""Read and change the operators' table, and see where a change is in force.

Addresses come from `--admin` or `SYCAMORE_ADMIN`, the operator token from `SYCAMORE_TOKEN` or
`--token-file`. Several addresses are separated by commas; the first that answers is used.

```console
$ export SYCAMORE_ADMIN=http://10.1.0.4:9080,http://10.1.0.5:9080 SYCAMORE_TOKEN=...
$ sycamorectl table get plovdiv-lm
$ sycamorectl table set plovdiv-lm kiosk-central urgent weight=5
$ sycamorectl table status --wait 20
```

Exit status: 0 done, 1 failed or refused, 2 wrong usage, 3 conflict, 4 outcome not known yet,
5 revision not in force everywhere.
""",
)
table = App(name="table", help="Read and change the table; see where a revision is in force.")
app.command(table)
app.register_install_completion_command()


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class Connection:
    """How to reach the administration API.

    :param admin: base URLs, separated by commas.
    :param token_file: file with the operator token, instead of `SYCAMORE_TOKEN`.
    :param authority: PEM file of the authority that signs the hosts' certificates.
    """

    admin: Annotated[str, Parameter(env_var="SYCAMORE_ADMIN")] = ""
    token_file: Annotated[Path | None, Parameter(env_var="SYCAMORE_TOKEN_FILE")] = None
    authority: Annotated[Path | None, Parameter(env_var="SYCAMORE_AUTHORITY")] = None

    @contextlib.contextmanager
    def open(self) -> Iterator[AdminClient]:
        """Yield a client."""
        token = os.environ.get("SYCAMORE_TOKEN", "")
        if self.token_file is not None:
            token = self.token_file.read_text(encoding="utf-8").strip()
        if not token:
            raise CommandError("no operator token; set SYCAMORE_TOKEN or --token-file")
        client = AdminClient(addresses=self.admin.split(","), token=token, authority=self.authority)
        try:
            yield client
        finally:
            client.close()


Json = Annotated[bool, Parameter(name="--json", negative="", help="Print one JSON document.")]
Wait = Annotated[
    float, Parameter(help="Seconds to wait until the revision is in force everywhere.")
]
_DEFAULT = Connection()
#: Hosts named in one line of a status.
_MAX_NAMED = 8


def _console() -> Console:
    console = Console(highlight=False)
    if not console.is_terminal:
        console.width = _PIPE_WIDTH
    return console


def _print_json(value: Any) -> None:
    print(json.dumps(value, ensure_ascii=False, indent=2))


def _print_table(columns: list[str], rows: list[list[Any]]) -> None:
    grid = Table(box=None, header_style="bold", pad_edge=False)
    for column in columns:
        grid.add_column(column, overflow="fold")
    for row in rows:
        grid.add_row(*(escape(str(value)) for value in row))
    _console().print(grid)


def _format_time(wall_s: float) -> str:
    return datetime.fromtimestamp(wall_s, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def _read_rows(client: AdminClient) -> tuple[dict[str, Any], dict[Any, dict[str, str]]]:
    from sycamoreproxy.table import RowKey

    answer = client.query("/v1/table")
    rows = {
        RowKey(item["model"], item["client_account"], item["rank"]): dict(item["cells"])
        for item in answer["rows"]
    }
    return answer, rows


@table.command
def get(
    model: str = "",
    client_account: str = "",
    rank: str = "",
    *,
    effective: bool = False,
    json: Json = False,
    connection: Connection = _DEFAULT,
) -> int:
    """Show rows of the table in force.

    ```console
    $ sycamorectl table get
    $ sycamorectl table get plovdiv-lm kiosk-central
    $ sycamorectl table get plovdiv-lm kiosk-central urgent --effective
    $ sycamorectl table get plovdiv-lm '*' '*' --json
    ```

    :param model: only rows of this model; `*` is the row for every model.
    :param client_account: only rows of this client account.
    :param rank: only rows of this rank: `urgent`, `normal`, `batch` or `*`.
    :param effective: show the policy in force of one row, with what empty cells fall back to.
    """
    with connection.open() as client:
        answer = client.query(
            "/v1/table",
            model=model,
            client_account=client_account,
            rank=rank,
            effective="1" if effective else "",
        )
    if json:
        _print_json(answer)
    elif effective:
        _print_table(["cell", "value"], [list(item) for item in answer["policy"].items()])
        _console().print(f"revision {answer['revision']}")
    else:
        from sycamoreproxy.table import CELLS

        names = [name for name in CELLS if any(row["cells"].get(name) for row in answer["rows"])]
        _print_table(
            ["model", "client_account", "rank", *names],
            [
                [row["model"], row["client_account"], row["rank"]]
                + [row["cells"].get(name, "") for name in names]
                for row in answer["rows"]
            ],
        )
        _console().print(f"revision {answer['revision']}")
    return ExitStatus.DONE


@table.command(name="set")
def set_cells(
    model: str,
    client_account: str,
    rank: str,
    /,
    *assignments: str,
    base: str | None = None,
    wait: Wait = 0.0,
    json: Json = False,
    connection: Connection = _DEFAULT,
) -> int:
    """Set cells of one row.

    The value that a cell has now is the base of the edit. If another operator changed the cell
    in between, the command ends with status 3 and shows both values. An empty value clears a cell.

    ```console
    $ sycamorectl table set plovdiv-lm kiosk-central urgent weight=5 concurrent_limit=64
    $ sycamorectl table set plovdiv-lm '*' '*' version=plovdiv-lm-2 --wait 60
    $ sycamorectl table set plovdiv-lm audit normal weight=2 --base 1
    $ sycamorectl table set plovdiv-lm audit normal deadline_ms=
    ```

    :param model: model of the row; quote `*`.
    :param client_account: client account of the row.
    :param rank: rank of the row.
    :param assignments: one or more `CELL=VALUE`.
    :param base: the value that you saw, in place of the current one; for one cell only.
    """
    if not assignments or not all("=" in item for item in assignments):
        raise CommandError("give one or more CELL=VALUE", status=ExitStatus.USAGE)
    if base is not None and len(assignments) > 1:
        raise CommandError("--base needs exactly one CELL=VALUE", status=ExitStatus.USAGE)
    values = dict(item.split("=", 1) for item in assignments)
    row = {"model": model, "client_account": client_account, "rank": rank}
    with connection.open() as client:
        cells: dict[str, str] = {}
        if base is None:
            found = client.query("/v1/table", **row)["rows"]
            cells = found[0]["cells"] if found else {}
        edits = [
            {
                **row,
                "cell": cell,
                "base": cells.get(cell, "") if base is None else base,
                "value": value,
            }
            for cell, value in values.items()
        ]
        accepted = client.commit(edits)
        return _finish_change(client, accepted, wait=wait, as_json=json)


@table.command
def apply(
    file: Path,
    *,
    base: Path | None = None,
    prune: bool = False,
    dry_run: bool = False,
    wait: Wait = 0.0,
    json: Json = False,
    connection: Connection = _DEFAULT,
) -> int:
    """Apply a CSV file as one change, all or nothing.

    Columns that the file lacks are left alone, and so are rows that it lacks without `--prune`.
    Give the export that you edited as `--base` to learn of changes made since then.

    ```console
    $ sycamorectl table export --output before.csv
    $ cp before.csv after.csv && $EDITOR after.csv
    $ sycamorectl table apply after.csv --base before.csv --dry-run
    $ sycamorectl table apply after.csv --base before.csv --wait 20
    ```

    :param file: CSV file in the form of `table export`.
    :param base: CSV file with the values that you saw; else the table in force is the base.
    :param prune: also clear rows of the base that the file lacks.
    :param dry_run: show the edits and change nothing.
    """
    from sycamoreproxy.table_commands import plan_edits

    wanted = _read_csv(file)
    with connection.open() as client:
        known = _read_csv(base) if base is not None else _read_rows(client)[1]
        edits = [
            {
                "model": edit.model,
                "client_account": edit.client_account,
                "rank": edit.rank,
                "cell": edit.cell,
                "base": edit.base,
                "value": edit.value,
            }
            for edit in plan_edits(wanted, base=known, remove_absent=prune)
        ]
        if dry_run or not edits:
            if json:
                _print_json({"edits": edits})
            else:
                _print_edits(edits)
                _console().print(f"cells that would change: {len(edits)}")
            return ExitStatus.DONE
        accepted = client.commit(edits)
        return _finish_change(client, accepted, wait=wait, as_json=json)


@table.command
def export(
    *,
    output: Path | None = None,
    json: Json = False,
    connection: Connection = _DEFAULT,
) -> int:
    """Write the table in force as CSV, in the form that `table apply` reads.

    ```console
    $ sycamorectl table export > table.csv
    $ sycamorectl table export --output before.csv
    ```

    :param output: file to write; standard output if not given.
    """
    from sycamoreproxy.table_queries import render_csv

    with connection.open() as client:
        answer, rows = _read_rows(client)
    text = _dump_text(answer) if json else render_csv(rows)
    if output is None:
        sys.stdout.write(text)
    else:
        output.write_text(text, encoding="utf-8")
        print(f"revision {answer['revision']}, {len(rows)} rows: {output}", file=sys.stderr)
    return ExitStatus.DONE


@table.command
def history(*, limit: int = 20, json: Json = False, connection: Connection = _DEFAULT) -> int:
    """Show the newest changes: who changed which cell from what to what.

    ```console
    $ sycamorectl table history --limit 5
    $ sycamorectl table history --json | jq '.history[0].changes'
    ```

    :param limit: how many revisions, newest first.
    """
    with connection.open() as client:
        answer = client.query("/v1/table/history", limit=str(limit))
    if json:
        _print_json(answer)
        return ExitStatus.DONE
    _print_table(
        ["revision", "time", "operator", "row", "cell", "before", "after"],
        [
            [
                item["revision"],
                _format_time(item["time"]),
                item["author"],
                f"{change['model']} {change['client_account']} {change['rank']}",
                change["cell"],
                change["before"],
                change["after"],
            ]
            for item in answer["history"]
            for change in item["changes"]
        ],
    )
    return ExitStatus.DONE


@table.command
def status(
    revision: int = 0,
    *,
    met: bool = False,
    wait: Wait = 0.0,
    json: Json = False,
    connection: Connection = _DEFAULT,
) -> int:
    """Show at how many processes a revision is in force, and which lack it and why.

    ```console
    $ sycamorectl table status
    $ sycamorectl table status 41 --wait 20
    $ sycamorectl table status --met --wait 600
    ```

    Ends with status 5 if the revision is not in force everywhere.

    :param revision: the revision; the newest one in force at the asked process if not given.
    :param met: also require that every target is met, such as a rollout that is still going on.
    """
    with connection.open() as client:
        report = _wait_in_force(client, revision, wait, met=met)
    if json:
        _print_json(report)
    else:
        _print_status(report)
    return _status_of(report, met=met)


@table.command
def change(change_id: str, *, json: Json = False, connection: Connection = _DEFAULT) -> int:
    """Show whether a change was accepted, and as which revision.

    ```console
    $ sycamorectl table change 5f1c0d5bb0a44c0d8f0a6f6f5d1f9a55
    ```

    :param change_id: the id that an unknown outcome named.
    """
    with connection.open() as client:
        answer = client.query(f"/v1/table/changes/{change_id}")
    if json:
        _print_json(answer)
    else:
        print(f"accepted as revision {answer['revision']}")
    return ExitStatus.DONE


@app.command
def explain(request_id: str, *logs: Path) -> None:
    """Show what decided a request, from the logs of several processes in order of time.

    :param request_id: the caller's id of the request.
    :param logs: files with the standard output of entry hosts and upstream processes.
    """
    from sycamoreproxy.log_trace import LogLine, format_line, parse_lines, trace_request

    lines: list[LogLine] = []
    for path in logs:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                lines.extend(parse_lines(file))
        except OSError as error:
            raise CommandError(f"{path}: {error.strerror}") from error
    found = trace_request(request_id, lines)
    if not found:
        raise CommandError(f"no line of request {request_id} in {len(logs)} files")
    for line in found:
        print(format_line(line))


@app.command
def dump(*, json: Json = False, connection: Connection = _DEFAULT) -> int:
    """Print the state of one process, without secrets.

    ```console
    $ sycamorectl dump --admin http://10.1.0.4:9080
    $ sycamorectl dump --json | jq .settings.process
    ```
    """
    with connection.open() as client:
        answer = client.query("/dump")
    if json:
        _print_json(answer)
    else:
        _console().print_json(data=answer)
    return ExitStatus.DONE


@app.command
def completion(shell: Literal["bash", "zsh", "fish"] = "bash") -> int:
    """Print the completion script of a shell.

    ```console
    $ sycamorectl completion bash > ~/.local/share/bash-completion/completions/sycamorectl
    ```
    """
    print(app.generate_completion(shell=shell))
    return ExitStatus.DONE


def _read_csv(file: Path) -> Any:
    from sycamoreproxy.table import TableError
    from sycamoreproxy.table_commands import parse_csv

    try:
        return parse_csv(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, TableError) as error:
        raise CommandError(f"{file}: {error}", status=ExitStatus.USAGE) from error


def _dump_text(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False, indent=2) + "\n"


def _print_edits(edits: list[dict[str, str]]) -> None:
    _print_table(
        ["model", "client_account", "rank", "cell", "before", "after"],
        [
            [
                edit["model"],
                edit["client_account"],
                edit["rank"],
                edit["cell"],
                edit["base"],
                edit["value"],
            ]
            for edit in edits
        ],
    )


def _finish_change(
    client: AdminClient, accepted: dict[str, Any], *, wait: float, as_json: bool
) -> int:
    if not as_json:
        print(f"accepted as revision {accepted['revision']} (change {accepted['change_id']})")
    if wait <= 0:
        if as_json:
            _print_json(accepted)
        return ExitStatus.DONE
    report = _wait_in_force(client, accepted["revision"], wait)
    if as_json:
        _print_json({**accepted, "status": report})
    else:
        _print_status(report)
    return _status_of(report)


def _wait_in_force(
    client: AdminClient, revision: int, wait_s: float, *, met: bool = False
) -> dict[str, Any]:
    """Return the last census; asks again until the revision is in force or time is up."""
    end = time.monotonic() + wait_s
    path = f"/v1/table/status/{revision or 'latest'}"
    while True:
        report: dict[str, Any] | None = None
        try:
            report = dict(client.query(path))
        except CommandError:
            # The asked process may not know a revision yet that another one just accepted.
            if time.monotonic() + _WAIT_PAUSE_S > end:
                raise
        if report is not None and (
            _status_of(report, met=met) == ExitStatus.DONE or time.monotonic() + _WAIT_PAUSE_S > end
        ):
            return report
        time.sleep(_WAIT_PAUSE_S)


def _status_of(report: dict[str, Any], *, met: bool = False) -> int:
    whole = report["in_force"] == report["expected"] and not (met and report["unmet"])
    return ExitStatus.DONE if whole else ExitStatus.NOT_IN_FORCE


def _print_status(report: dict[str, Any]) -> None:
    print(
        f"revision {report['revision']}: in force at {report['in_force']} of"
        f" {report['expected']} processes"
    )
    for item in report["missing"]:
        print(f"  {item['host']} ({item['role']}, {item['availability_zone']}): {item['reason']}")
    hosts_by_reason: dict[str, list[str]] = {}
    for item in report["unmet"]:
        # Processes name themselves; without the name, equal reasons share a line.
        reason = item["reason"].removeprefix(item["host"]).strip()
        hosts_by_reason.setdefault(reason, []).append(item["host"])
    for reason, hosts in hosts_by_reason.items():
        named = [host for host in hosts if host]
        more = f" and {len(named) - _MAX_NAMED} more" if len(named) > _MAX_NAMED else ""
        where = f" at {', '.join(named[:_MAX_NAMED])}{more}" if named else ""
        print(f"  not met{where}: {reason}")


def _print_failure(error: CommandError, *, as_json: bool) -> None:
    if as_json:
        body = error.body if isinstance(error.body, dict) else {"error": {"message": str(error)}}
        _print_json(body)
        return
    print(f"sycamorectl: {error}", file=sys.stderr)
    conflicts = error.body.get("conflicts", []) if isinstance(error.body, dict) else []
    for item in conflicts:
        edit = item["edit"]
        print(
            f"  {edit['model']} {edit['client_account']} {edit['rank']} {edit['cell']}:"
            f" base {edit['base']!r}, current {item['current']!r}, yours {edit['value']!r}",
            file=sys.stderr,
        )


def run(arguments: list[str]) -> int:
    """Run one command and return its exit status."""
    try:
        result = app(arguments, result_action="return_value", exit_on_error=False)
    except CommandError as error:
        _print_failure(error, as_json="--json" in arguments)
        return error.status
    except (OSError, UnicodeDecodeError) as error:
        print(f"sycamorectl: {error}", file=sys.stderr)
        return ExitStatus.FAILED
    except KeyboardInterrupt:
        return 130
    return result if isinstance(result, int) else ExitStatus.DONE


def main() -> None:
    """Run the command line."""
    from cyclopts import CycloptsError

    try:
        status = run(sys.argv[1:])
    except CycloptsError:
        # cyclopts has printed what is wrong.
        status = ExitStatus.USAGE
    sys.exit(status)


if __name__ == "__main__":
    main()
