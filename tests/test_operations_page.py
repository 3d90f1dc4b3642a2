"""Guards against settings, metrics and cells that operators can't look up."""

from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import get_args, get_origin, get_type_hints

from aioprometheus.collectors import Collector

from sycamoreproxy import metrics
from sycamoreproxy.settings import Settings
from sycamoreproxy.table import CELLS

PAGE = (Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


def _list_keys() -> list[str]:
    keys = []
    for name, hint in get_type_hints(Settings).items():
        group = next((part for part in (hint, *get_args(hint)) if is_dataclass(part)), None)
        if group is None or get_origin(hint) is tuple:
            keys.append(name)
        else:
            keys.extend(f"{name}.{item.name}" for item in fields(group))
    return keys


def test_every_setting_metric_and_cell_is_described() -> None:
    collectors = [item for item in vars(metrics).values() if isinstance(item, Collector)]
    names = [*_list_keys(), *(item.name for item in collectors), *CELLS]
    assert len(names) > 50
    assert [name for name in names if f"`{name}`" not in PAGE] == []
