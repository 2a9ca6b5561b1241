"""Form fields for lists, one entry per line, and for localized numbers."""

from typing import Any

from wtforms import FloatField, IntegerField, SelectMultipleField, TextAreaField
from wtforms.fields.choices import SelectChoice
from wtforms.widgets import CheckboxInput, ListWidget


class NumberField(FloatField):
    """A number with a decimal point or, as in Italian, a comma; empty means default."""

    def _value(self) -> str:
        """Return the text to show: the posted text or the shortest number."""
        if self.raw_data:
            return str(self.raw_data[0])
        return "" if self.data is None else f"{self.data:.12g}"

    def process_formdata(self, valuelist: list[str]) -> None:
        """Read the posted text."""
        text = valuelist[0].strip() if valuelist else ""
        self.data = None
        if not text:
            return
        try:
            self.data = float(text.replace(",", "."))
        except ValueError as exc:
            raise ValueError(f"'{text}' is not a number") from exc


class WholeNumberField(IntegerField):
    """A whole number; empty means default."""

    def process_formdata(self, valuelist: list[str]) -> None:
        """Read the posted text."""
        text = valuelist[0].strip() if valuelist else ""
        self.data = None
        if not text:
            return
        try:
            self.data = int(text)
        except ValueError as exc:
            raise ValueError(f"'{text}' is not a whole number") from exc


class LinesField(TextAreaField):
    """A list, one entry per line."""

    data: Any

    def _value(self) -> str:
        """Return the text to show."""
        return "\n".join(self.data or ())

    def process_formdata(self, valuelist: list[str]) -> None:
        """Read the posted text; empty lines are ignored."""
        text = valuelist[0] if valuelist else ""
        self.data = [line.strip() for line in text.splitlines() if line.strip()]


class AdaptersField(LinesField):
    """Adapters, one ``name = model`` per line."""

    def _value(self) -> str:
        """Return the text to show."""
        if self.raw_data:
            return str(self.raw_data[0])
        return "\n".join(f"{a['name']} = {a['model']}" for a in self.data or ())

    def process_formdata(self, valuelist: list[str]) -> None:
        """Read the posted text."""
        super().process_formdata(valuelist)
        self.data = [self._adapter(line) for line in self.data]

    @staticmethod
    def _adapter(line: str) -> dict[str, Any]:
        name, sep, model = (part.strip() for part in line.partition("="))
        if not (name and sep and model):
            raise ValueError(f"'{line}' is not 'adapter = model'")
        return {"name": name, "model": model}


class CallsField(LinesField):
    """Call rules, one ``METHOD /path repeat|once`` per line."""

    _IDEMPOTENT_BY_WORD = {"repeat": True, "once": False}

    def _value(self) -> str:
        """Return the text to show."""
        if self.raw_data:
            return str(self.raw_data[0])
        return "\n".join(
            f"{call['method']} {call['path']} "
            f"{'repeat' if call['idempotent'] else 'once'}"
            for call in self.data or ()
        )

    def process_formdata(self, valuelist: list[str]) -> None:
        """Read the posted text."""
        super().process_formdata(valuelist)
        self.data = [self._call(line) for line in self.data]

    def _call(self, line: str) -> dict[str, Any]:
        words = line.split()
        if len(words) != 3 or words[2] not in self._IDEMPOTENT_BY_WORD:
            raise ValueError(f"'{line}' is not 'METHOD /path repeat' or '... once'")
        method, path, word = words
        return {
            "method": method.upper(),
            "path": path,
            "idempotent": self._IDEMPOTENT_BY_WORD[word],
        }


class ChecksField(SelectMultipleField):
    """Check boxes; checked names that no longer exist stay visible."""

    widget = ListWidget(prefix_label=False)
    option_widget = CheckboxInput()

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, validate_choice=False, choices=[], **kwargs)

    def set_choices(self, names: list[str]) -> None:
        """Show these names, and checked names that no longer exist."""
        removed = [name for name in self.data or () if name not in names]
        self.choices = [SelectChoice(name) for name in names] + [
            SelectChoice(name, f"{name} (no longer there)") for name in removed
        ]
