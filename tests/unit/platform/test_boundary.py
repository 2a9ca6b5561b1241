"""The platform's names stand in its folder and in the deploy files alone."""

import re

import pytest

from tests.lib.pages import ROOT

SOURCES = ROOT / "src/ebonydeal"
FOLDER = SOURCES / "_internal/platform"
# Headers, calls, fields and words of the platform's pages.
NAMES = re.compile(
    # X-Ebonydeal-Peer is the product's own header between its processes.
    r"Ebonydeal-(?!Peer)|Kv-(From|Fetch)|/-/|\bop/config\b|rows-(tx|get|feed)"
    r"|\bapi_keys\b|\bcan_resume\b|\bgap_aim\b|\btarget_latency|\bmax_attempts\b"
    r"|\broute_type\b|\bkv_(capacity_tokens|token_bytes)|\bleaves_ms\b|\bcold_left"
    r"|\bwindow_id\b|\brequest_counts\b|\btenant"
)
MOST_LINES = 1500


def others():
    return [f for f in SOURCES.rglob("*.py") if FOLDER not in f.parents]


class TestBoundary:
    @pytest.mark.parametrize("file", others(), ids=lambda f: f.stem)
    def test_no_name_of_the_platform_outside(self, file):
        text = file.read_text(encoding="utf-8")
        assert NAMES.findall(text) == []

    def test_names_are_found_where_they_belong(self):
        texts = [f.read_text(encoding="utf-8") for f in FOLDER.glob("*.py")]
        assert sum(len(NAMES.findall(text)) for text in texts) > 20

    def test_folder_stays_small(self):
        lines = sum(len(f.read_text().splitlines()) for f in FOLDER.glob("*.py"))
        assert lines < MOST_LINES
