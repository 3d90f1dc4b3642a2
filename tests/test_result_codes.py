"""Guards against an error page in the documentation that differs from the code."""

from pathlib import Path

from sycamoreproxy.result_codes import INTERNAL, get_code, list_codes, render_error_page


def test_error_page_matches_codes() -> None:
    page = Path(__file__).parent.parent / "docs" / "errors.md"
    assert page.read_text(encoding="utf-8") == render_error_page()


def test_names_are_unique() -> None:
    names = [code.name for code in list_codes()]
    assert len(names) == len(set(names))


def test_unknown_code_from_a_newer_peer_maps_to_internal() -> None:
    assert get_code(9999) is INTERNAL
