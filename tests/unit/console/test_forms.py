"""Forms accept or refuse any input, and never raise an exception."""

import json

from hypothesis import given
from hypothesis import strategies as st
from multidict import MultiDict
from returns.result import Failure, Success

from ebonydeal._internal.config.delta import split
from ebonydeal._internal.config.examples import example_document
from ebonydeal._internal.config.rows import Content
from ebonydeal._internal.config.validate import validate
from ebonydeal._internal.console.edits import (
    PutItem,
    RemoveItem,
    apply_edit,
    edited_item_index,
    split_problems,
)
from ebonydeal._internal.console.forms import FORMS, AccountForm, DeploymentForm
from ebonydeal._internal.utils.keys import key_matches

BASE = Content(1, split(example_document("palermo")))
inputs = st.text(max_size=12) | st.sampled_from(
    [
        "",
        "0",
        "1",
        "-1",
        "nan",
        "inf",
        "1e400",
        "1,5",
        "9" * 400,
        "a = b",
        "=",
        "GET / repeat",
        "GET /\r\nx",
        "palermo-1",
        "luggage",
        "porters",
        "\x00",
        "y\u0302",
    ]
)


def posts(form):
    names = [*form.field_paths, "new_key"]
    pairs = st.tuples(st.sampled_from(names), inputs)
    return st.lists(pairs, max_size=12).map(MultiDict)


def submit_form(section, data):
    """Process a post as the page does; return form, other problems, document."""
    form = FORMS[section](data)
    form.validate()
    edit = PutItem(section, "", form.to_item({}))
    document = apply_edit(BASE, edit)
    checked = validate(document)
    problems = checked.failure() if isinstance(checked, Failure) else []
    own, others = split_problems(problems, section, edited_item_index(document, edit))
    return form, [*form.assign_problems(own), *others], document


class TestAnyInput:
    @given(posts(DeploymentForm))
    def test_deployment(self, data):
        form, others, document = submit_form("deployments", data)
        if not form.errors and not others:
            assert validate(document) == Success(document)

    @given(posts(AccountForm))
    def test_account(self, data):
        form, others, document = submit_form("accounts", data)
        if not form.errors and not others:
            assert validate(document) == Success(document)

    @given(st.text(max_size=30))
    def test_document_text(self, text):
        from ebonydeal._internal.console.edits import PutDocument

        try:
            document = apply_edit(BASE, PutDocument(text))
        except ValueError as exc:
            assert str(exc)
        else:
            assert document == json.loads(text) or document != document


class TestEdits:
    def test_removing_an_unknown_item_changes_nothing(self):
        document = apply_edit(BASE, RemoveItem("accounts", "nobody"))
        assert split(document) == BASE.items

    def test_replacing_an_item_keeps_its_position(self):
        value = {**BASE.items[("accounts", "claims")], "title": "nuovo"}
        document = apply_edit(BASE, PutItem("accounts", "claims", value))
        names = [item["name"] for item in document["accounts"]]
        assert names == sorted(names)
        assert value in document["accounts"]


class TestAccountForm:
    def test_entered_key_is_replaced_by_its_hash(self):
        form = AccountForm(MultiDict(name="a", new_key="hush", key_hashes="x\r\n y \n"))
        form.validate()
        form.hash_new_key()
        first, second, hashed = form.key_hashes.data
        assert (first, second) == ("x", "y")
        assert key_matches("hush", hashed)
        assert form.new_key.data == ""
