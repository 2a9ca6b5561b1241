"""Parses the forms of a page as a browser would post them."""

from html.parser import HTMLParser


class FormReader(HTMLParser):
    """Collects the fields of each form and the text of the page."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self.forms: list[list[tuple[str, str]]] = []
        self.labels: set[str] = set()
        self.ids: list[str] = []
        self.tags: list[str] = []
        self.text_parts: list[str] = []
        self._textarea_name: str | None = None
        self._select_name: str | None = None
        self.feed(text)

    def handle_starttag(self, tag, attrs):
        attributes = dict(attrs)
        self.tags.append(tag)
        if "id" in attributes:
            self.ids.append(attributes["id"])
        match tag:
            case "form":
                self.forms.append([])
            case "label" if "for" in attributes:
                self.labels.add(attributes["for"])
            case "input" if self.forms and "name" in attributes:
                self._input(attributes)
            case "textarea":
                self._textarea_name = attributes["name"]
                self.forms[-1].append((self._textarea_name, ""))
            case "select":
                self._select_name = attributes["name"]
            case "option" if "selected" in attributes:
                self.forms[-1].append((self._select_name, attributes["value"]))

    def _input(self, attributes):
        kind = attributes.get("type", "text")
        if kind in ("checkbox", "radio") and "checked" not in attributes:
            return
        value = attributes.get("value", "on" if kind == "checkbox" else "")
        self.forms[-1].append((attributes["name"], value))

    def handle_endtag(self, tag):
        if tag == "textarea":
            name, value = self.forms[-1].pop()
            # A browser drops the newline that follows the opening tag.
            self.forms[-1].append((name, value.removeprefix("\r\n").removeprefix("\n")))
            self._textarea_name = None

    def handle_data(self, data):
        if self._textarea_name is not None:
            name, value = self.forms[-1].pop()
            self.forms[-1].append((name, value + data))
        else:
            self.text_parts.append(data)

    @property
    def text(self) -> str:
        return " ".join(" ".join(self.text_parts).split())

    def main_form(self) -> list[tuple[str, str]]:
        """Return the page's last form, which follows the menu's."""
        return self.forms[-1]


def with_fields(form, **values):
    """Return form fields with some replaced; None removes, a list sets several."""
    fields = [pair for pair in form if pair[0] not in values]
    for name, value in values.items():
        if value is None:
            continue
        items = value if isinstance(value, list) else [value]
        fields.extend((name, str(item)) for item in items)
    return fields
