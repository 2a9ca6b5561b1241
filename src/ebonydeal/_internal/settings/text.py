"""Settings as INI text: a commented example, and what is in force."""

from typing import Any

from ebonydeal._internal.settings.reading import KeySpec, key_specs

MASK = "***"
_HEADING = """\
# Settings of one ebonydeal instance. Every key is shown with its default; a key
# that is left out has it. EBONYDEAL_<SECTION>_<KEY> in the environment goes
# before the file, for secrets above all.
"""


def example_text(sections: dict[str, type]) -> str:
    """Return a complete commented file that parses back to all defaults."""
    parts = [_HEADING]
    for name, cls in sections.items():
        about = (cls.__doc__ or "").partition("``: ")[2].partition("\n")[0]
        lines = [f"# {about[:1].upper()}{about[1:]}", f"[{name}]"]
        for spec in key_specs(cls):
            lines.append(f"# {spec.key.help} Accepted: {spec.accepted()}.")
            lines.append(f"{spec.name} = {value_text(spec.default)}".rstrip())
        parts.append("\n".join(lines) + "\n")
    return "\n".join(parts)


def settings_text(settings: dict[str, Any], sections: dict[str, type]) -> str:
    """Return what is in force as INI text, secrets masked."""
    parts = []
    for name, cls in sections.items():
        values = settings[name]
        lines = [f"[{name}]"]
        lines += [
            f"{spec.name} = {_shown(spec, getattr(values, spec.name))}".rstrip()
            for spec in key_specs(cls)
        ]
        parts.append("\n".join(lines) + "\n")
    return "\n".join(parts)


def _shown(spec: KeySpec, value: Any) -> str:
    """Return a value as text, masked if it is a secret that is set."""
    if spec.key.secret and value:
        return MASK
    return value_text(value)


def value_text(value: Any) -> str:
    """Return a value as the parser reads it back."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
