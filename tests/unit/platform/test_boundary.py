"""The platform's names occur only in its folder and in the deploy files."""

import re

import pytest

from tests.lib.pages import ROOT

SOURCES = ROOT / "src/ebonydeal"
FOLDER = SOURCES / "_internal/platform"
# Names of the platform's headers, paths, fields and terms.
PLATFORM_NAMES = re.compile(
    # X-Ebonydeal-Peer is the product's own header between its processes.
    r"Ebonydeal-(?!Peer)|Kv-(From|Fetch)|/-/|\bop/config\b|rows-(tx|get|feed)"
    r"|\bapi_keys\b|\bcan_resume\b|\bgap_aim\b|\btarget_latency|\bmax_attempts\b"
    r"|\broute_type\b|\bkv_(capacity_tokens|token_bytes)|\bleaves_ms\b|\bcold_left"
    r"|\bwindow_id\b|\brequest_counts\b|\btenant"
)
MAX_LINES = 1500


def other_files():
    return [f for f in SOURCES.rglob("*.py") if FOLDER not in f.parents]


class TestBoundary:
    @pytest.mark.parametrize("file", other_files(), ids=lambda f: f.stem)
    def test_no_platform_name_outside_its_folder(self, file):
        text = file.read_text(encoding="utf-8")
        assert PLATFORM_NAMES.findall(text) == []

    def test_pattern_matches_in_the_platform_folder(self):
        texts = [f.read_text(encoding="utf-8") for f in FOLDER.glob("*.py")]
        assert sum(len(PLATFORM_NAMES.findall(text)) for text in texts) > 20

    def test_folder_stays_small(self):
        lines = sum(len(f.read_text().splitlines()) for f in FOLDER.glob("*.py"))
        assert lines < MAX_LINES
