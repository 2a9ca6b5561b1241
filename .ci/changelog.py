"""Write CHANGELOG.md from the fragments in news/.

``python .ci/changelog.py`` rewrites the section of what isn't released yet; the
fragments stay until a release.
"""

from pathlib import Path

ROOT = Path(__file__).parents[1]
HEADINGS = {"feature": "Added", "bugfix": "Mended"}
HEAD = """# Changelog

Built from the fragments in `news/` by `python .ci/changelog.py`; change those.

## Not released
"""


def text(news: Path) -> str:
    """Return the changelog for the fragments in ``news``."""
    parts = [HEAD]
    for kind, heading in HEADINGS.items():
        files = sorted(news.glob(f"*.{kind}.md"))
        lines = [f"- {file.read_text(encoding='utf-8').strip()}" for file in files]
        if lines:
            parts.append(f"### {heading}\n\n" + "\n".join(lines) + "\n")
    return "\n".join(parts)


if __name__ == "__main__":
    (ROOT / "CHANGELOG.md").write_text(text(ROOT / "news"), encoding="utf-8")
