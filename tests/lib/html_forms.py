"""Reads the forms of a page as a browser would post them."""

from html.parser import HTMLParser


class FormReader(HTMLParser):
    """Collects each form's fields, and each page's text."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self.forms: list[list[tuple[str, str]]] = []
        self.labels: set[str] = set()
        self.ids: list[str] = []
        self.tags: list[str] = []
        self.words: list[str] = []
        self._area: str | None = None
        self._select: str | None = None
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
                self._area = attributes["name"]
                self.forms[-1].append((self._area, ""))
            case "select":
                self._select = attributes["name"]
            case "option" if "selected" in attributes:
                self.forms[-1].append((self._select, attributes["value"]))

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
            self._area = None

    def handle_data(self, data):
        if self._area is not None:
            name, value = self.forms[-1].pop()
            self.forms[-1].append((name, value + data))
        else:
            self.words.append(data)

    @property
    def text(self) -> str:
        return " ".join(" ".join(self.words).split())

    def main_form(self) -> list[tuple[str, str]]:
        """Return the last form of the page: the one below the menu."""
        return self.forms[-1]


def changed(form, **values):
    """Return a form's fields with some set; None removes, a list sets several."""
    kept = [pair for pair in form if pair[0] not in values]
    for name, value in values.items():
        if value is None:
            continue
        many = value if isinstance(value, list) else [value]
        kept.extend((name, str(item)) for item in many)
    return kept
