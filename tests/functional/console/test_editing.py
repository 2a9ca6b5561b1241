"""Editing with forms, up to acceptance or refusal with all problems."""

import json

import pytest

from ebonydeal._internal.config.delta import ItemKey
from ebonydeal._internal.utils.keys import key_matches

KITCHEN = ItemKey("deployments", "kitchen")


async def item(console, section, name):
    return (await console.store.load()).items[ItemKey(section, name)]


class TestCreate:
    async def test_deployment_is_added(self, filled):
        browser = await filled.browser("nia")
        await browser.get("/add/deployments")
        page = await browser.submit(
            "preview",
            name="sgwrs-ŵyl",
            title="Sgwrs dros yr ŵyl, città",
            models="chat-8b\r\n",
            accounts=["stores"],
            zones=["de-cymru-1", "de-cymru-2"],
            price_ceiling_per_hour="12,5",
            replicas_max="4",
        )
        assert browser.status == 200
        assert "+ deployments/sgwrs-ŵyl" in page.text
        page = await browser.submit("accept", note="for the feast")
        assert browser.path == "/history/2"
        assert "Accepted. Version 2 is in force here" in page.text
        assert await item(filled, "deployments", "sgwrs-ŵyl") == {
            "name": "sgwrs-ŵyl",
            "title": "Sgwrs dros yr ŵyl, città",
            "kind": "engine",
            "models": ["chat-8b"],
            "accounts": ["stores"],
            "zones": ["de-cymru-1", "de-cymru-2"],
            "price_ceiling_per_hour": 12.5,
            "replicas": {"max": 4},
        }
        assert filled.follower.document.version == 2
        info = await filled.store.version(2)
        assert (info.by, info.note) == ("nia", "for the feast")

    async def test_new_account_key_is_stored_as_a_hash(self, filled):
        browser = await filled.browser("nia")
        await browser.get("/add/accounts")
        page = await browser.submit("preview", name="rota", new_key="very-secret-key")
        assert all("very-secret-key" not in value for _, value in page.main_form())
        await browser.submit("accept")
        (hashed,) = (await item(filled, "accounts", "rota"))["key_hashes"]
        assert key_matches("very-secret-key", hashed)

    async def test_first_document_is_entered_as_text(self, console):
        from ebonydeal._internal.config.examples import example_document

        browser = await console.browser("rhys")
        await browser.get("/document/edit")
        text = json.dumps(example_document("cadwaladr"))
        await browser.submit("preview", text=text)
        assert browser.status == 200
        await browser.submit("accept")
        assert browser.path == "/history/1"
        assert (await console.store.load()).version == 1


class TestChange:
    @pytest.mark.parametrize("name", ["kitchen", "paperwork"])
    async def test_unchanged_form_changes_nothing(self, filled, name):
        browser = await filled.browser("nia")
        await browser.get(f"/edit/deployments/{name}")
        page = await browser.submit("preview")
        assert "Nothing differs." in page.text

    async def test_one_field_is_changed(self, filled):
        browser = await filled.browser("nia")
        await browser.get("/edit/deployments/kitchen")
        page = await browser.submit("preview", replicas_max="80")
        assert "~ deployments/kitchen replicas.max: 90 -> 80" in page.text
        await browser.submit("accept")
        assert (await item(filled, "deployments", "kitchen"))["replicas"]["max"] == 80

    async def test_back_to_the_form_keeps_the_input(self, filled):
        browser = await filled.browser("nia")
        await browser.get("/edit/deployments/kitchen")
        await browser.submit("preview", replicas_max="80")
        page = await browser.submit("back")
        assert dict(page.main_form())["replicas_max"] == "80"

    async def test_item_is_removed(self, filled):
        browser = await filled.browser("nia")
        page = await browser.get("/remove/deployments/paperwork")
        assert "- deployments/paperwork" in page.text
        await browser.submit("accept")
        content = await filled.store.load()
        assert ItemKey("deployments", "paperwork") not in content.items

    async def test_removing_a_referenced_item_is_refused(self, filled):
        browser = await filled.browser("nia")
        page = await browser.get("/remove/accounts/stores")
        assert browser.status == 422
        assert "no account is named 'stores'" in page.text

    async def test_roll_forward_restores_an_older_version(self, filled):
        browser = await filled.browser("nia")
        await browser.get("/edit/deployments/kitchen")
        await browser.submit("preview", replicas_max="80")
        await browser.submit("accept")
        page = await browser.get("/roll-forward/1")
        assert "replicas.max: 80 -> 90" in page.text
        await browser.submit("accept")
        assert browser.path == "/history/3"
        assert (await item(filled, "deployments", "kitchen"))["replicas"]["max"] == 90


class TestProblems:
    async def test_all_problems_are_shown_at_their_fields(self, filled):
        browser = await filled.browser("nia")
        await browser.get("/add/deployments")
        page = await browser.submit(
            "preview",
            name="kitchen",
            models="covers-13b",
            adapters="welsh = other-model",
            calls="FETCH it",
            accounts=["stores"],
            zones=None,
            price_ceiling_per_hour="lots",
            replicas_min="9",
            replicas_max="3.5",
        )
        assert browser.status == 422
        for reason in (
            "'FETCH it' is not 'METHOD /path repeat' or '... once'",
            "must have at least 1 entry",
            "'kitchen' is already taken by 'kitchen'",
            "model 'other-model' is not in models: covers-13b",
            "'lots' is not a number",
            "'3.5' is not a whole number",
        ):
            assert reason in page.text
        assert page.text.count("is missing") == 0
        assert dict(page.main_form())["price_ceiling_per_hour"] == "lots"
        assert filled.tables.rows["config/head"].value == {"version": 1}

    async def test_invalid_references_and_ranges_are_refused(self, filled):
        browser = await filled.browser("nia")
        await browser.get("/add/deployments")
        page = await browser.submit(
            "preview",
            name="kitchen",
            models="covers-13b",
            adapters="welsh = other-model",
            accounts=["stores", "gone"],
            zones=["de-cymru-1"],
            price_ceiling_per_hour="0.5",
            replicas_min="9",
            replicas_max="3",
        )
        assert browser.status == 422
        for reason in (
            "'kitchen' is already taken by 'kitchen'",
            "model 'other-model' is not in models: covers-13b",
            "no account is named 'gone'",
            "0.5 is under every offer; the cheapest is 1",
            "min 9 is more than max 3",
            "'kitchen' already serves covers-13b to stores",
        ):
            assert reason in page.text
        assert "gone (no longer there)" in page.text

    async def test_invalid_json_is_refused_with_its_position(self, filled):
        browser = await filled.browser("nia")
        await browser.get("/document/edit")
        page = await browser.submit("preview", text='{"currency": ')
        assert browser.status == 422
        assert "The text is not JSON: line 1, column 14" in page.text
        assert dict(page.main_form())["text"] == '{"currency": '

    async def test_unchecked_prices_are_stated(self, filled):
        filled.current_offers = None
        browser = await filled.browser("nia")
        await browser.get("/edit/deployments/kitchen")
        page = await browser.submit("preview", replicas_max="80")
        assert "price ceilings weren't checked" in page.text


class TestTwoOperators:
    async def start(self, filled, **mine):
        rhys = await filled.browser("rhys")
        await rhys.get("/edit/deployments/kitchen")
        await rhys.submit("preview", **mine)
        nia = await filled.browser("nia")
        await nia.get("/edit/deployments/kitchen")
        await nia.submit("preview", replicas_max="80", title="Cegin newydd")
        await nia.submit("accept", note="fewer")
        return rhys

    async def test_second_operator_sees_the_changes_and_keeps_the_input(self, filled):
        rhys = await self.start(filled, price_ceiling_per_hour="300")
        page = await rhys.submit("accept")
        assert rhys.status == 409
        assert "Another operator was faster" in page.text
        assert "Version 2 by nia" in page.text
        assert "replicas.max: 90 -> 80" in page.text
        form = dict(page.main_form())
        assert form["price_ceiling_per_hour"] == "300"
        assert (form["replicas_max"], form["title"]) == ("80", "Cegin newydd")
        assert form["base"] == "2"

    async def test_second_operator_can_accept_the_merged_form(self, filled):
        rhys = await self.start(filled, price_ceiling_per_hour="300")
        await rhys.submit("accept")
        page = await rhys.submit("preview")
        assert "price_ceiling_per_hour: 400.0 -> 300.0" in page.text
        assert "replicas" not in page.text.partition("Note for")[0]
        await rhys.submit("accept")
        assert rhys.path == "/history/3"
        kitchen = await item(filled, "deployments", "kitchen")
        assert kitchen["replicas"]["max"] == 80
        assert kitchen["price_ceiling_per_hour"] == 300

    async def test_field_changed_by_both_is_named(self, filled):
        rhys = await self.start(filled, replicas_max="70")
        page = await rhys.submit("accept")
        assert "You both changed replicas.max" in page.text
        assert dict(page.main_form())["replicas_max"] == "70"

    async def test_outdated_removal_is_previewed_again(self, filled):
        rhys = await filled.browser("rhys")
        await rhys.get("/remove/deployments/paperwork")
        nia = await filled.browser("nia")
        await nia.get("/edit/deployments/paperwork")
        await nia.submit("preview", replicas_max="12")
        await nia.submit("accept")
        page = await rhys.submit("accept")
        assert rhys.status == 409
        assert "replicas.max: 9 -> 12" in page.text
        await rhys.submit("accept")
        assert rhys.path == "/history/3"


class TestTableFaults:
    async def preview(self, filled):
        browser = await filled.browser("nia")
        await browser.get("/edit/deployments/kitchen")
        await browser.submit("preview", replicas_max="80")
        return browser

    async def test_edit_is_accepted_once_if_the_answer_is_lost(self, filled):
        browser = await self.preview(filled)
        filled.tables.write_faults = ["lost"]
        await browser.submit("accept")
        assert browser.path == "/history/2"

    async def test_retry_after_an_unknown_outcome_takes_effect_once(self, filled):
        browser = await self.preview(filled)
        filled.tables.write_faults = ["lost", *["down"] * 30]
        page = await browser.submit("accept")
        assert browser.status == 503
        assert "Not known yet whether it was accepted" in page.text
        filled.tables.write_faults = []
        await browser.submit("accept")
        assert browser.path == "/history/2"
        assert [info.version for info in await filled.store.history()] == [2, 1]

    async def test_higher_prices_do_not_refuse_an_edit_already_accepted(self, filled):
        browser = await self.preview(filled)
        filled.tables.write_faults = ["lost", *["down"] * 30]
        await browser.submit("accept")
        filled.tables.write_faults = []
        filled.current_offers = [
            offer._replace(price_per_hour=900.0) for offer in filled.current_offers
        ]
        await browser.submit("accept")
        assert browser.path == "/history/2"

    async def test_higher_prices_before_acceptance_refuse_the_edit(self, filled):
        browser = await self.preview(filled)
        filled.current_offers = [
            offer._replace(price_per_hour=900.0) for offer in filled.current_offers
        ]
        page = await browser.submit("accept")
        assert browser.status == 422
        assert "is under every offer; the cheapest is 900" in page.text
        assert filled.tables.rows["config/head"].value == {"version": 1}

    async def test_input_survives_an_unavailable_table(self, filled):
        browser = await self.preview(filled)
        filled.tables.down = True
        page = await browser.submit("accept")
        assert browser.status == 503
        assert "This try changed nothing" in page.text
        filled.tables.down = False
        await browser.submit("accept")
        assert browser.path == "/history/2"

    async def test_pages_show_the_last_known_content_while_the_table_is_down(
        self, filled
    ):
        browser = await filled.browser("nia")
        await browser.get("/deployments")
        filled.tables.down = True
        page = await browser.get("/deployments")
        assert browser.status == 200
        assert "kitchen" in page.text
        page = await browser.get("/")
        assert "spend: down" in page.text
        page = await browser.get("/history")
        assert browser.status == 503
