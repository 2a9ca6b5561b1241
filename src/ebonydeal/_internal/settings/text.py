"""Writes settings as INI text: a commented example, and the current settings."""

from typing import Any

from ebonydeal._internal.settings.reading import KeySpec, key_specs

MASK = "***"
_HEADING = """\
# Settings of one ebonydeal instance. Every key is shown with its default, which a
# missing key has. The environment variable EBONYDEAL_<SECTION>_<KEY> overrides the
# file, mainly for secrets.
"""


def example_text(sections: dict[str, type]) -> str:
    """Return a complete commented file that parses to all defaults."""
    parts = [_HEADING]
    for name, cls in sections.items():
        description = (cls.__doc__ or "").partition("``: ")[2].partition("\n")[0]
        lines = [f"# {description[:1].upper()}{description[1:]}", f"[{name}]"]
        for spec in key_specs(cls):
            lines.append(f"# {spec.key.help} Accepted: {spec.accepted()}.")
            lines.append(f"{spec.name} = {value_text(spec.default)}".rstrip())
        parts.append("\n".join(lines) + "\n")
    return "\n".join(parts)


def settings_text(settings: dict[str, Any], sections: dict[str, type]) -> str:
    """Return the current settings as INI text with masked secrets."""
    parts = []
    for name, cls in sections.items():
        values = settings[name]
        lines = [f"[{name}]"]
        lines += [
            f"{spec.name} = {_masked_text(spec, getattr(values, spec.name))}".rstrip()
            for spec in key_specs(cls)
        ]
        parts.append("\n".join(lines) + "\n")
    return "\n".join(parts)


def _masked_text(spec: KeySpec, value: Any) -> str:
    """Return a value as text, masked if it is a non-empty secret."""
    if spec.key.secret and value:
        return MASK
    return value_text(value)


def value_text(value: Any) -> str:
    """Return a value as text that parses to it."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
