"""Sign-in, CSRF and origin checks, security headers, malformed posts."""

import pytest
from aiohttp import FormData

from ebonydeal._internal.errors import ErrorKind
from tests.lib.console import TOKENS
from tests.lib.html_forms import with_fields

PAGES = ["/", "/deployments", "/accounts", "/document", "/history", "/add/accounts"]


class TestLogin:
    @pytest.mark.parametrize("path", PAGES)
    async def test_pages_need_a_session(self, filled, path):
        browser = await filled.browser()
        await browser.get(path)
        assert browser.path == "/login"

    async def test_wrong_token_is_refused_with_a_hint(self, filled):
        browser = await filled.browser()
        page = await browser.post("/login", {"token": "guess"})
        assert browser.status == 401
        assert "This token is not known" in page.text
        assert filled.metrics.value("refusals", ErrorKind.UNAUTHORIZED) == 1

    async def test_cookie_is_inaccessible_to_scripts_and_other_sites(self, filled):
        browser = await filled.browser()
        resp = await browser.client.post(
            "/login", data={"token": TOKENS["nia"]}, allow_redirects=False
        )
        cookie = resp.headers["Set-Cookie"]
        assert "HttpOnly" in cookie
        assert "SameSite=Strict" in cookie

    async def test_sign_out_ends_the_session(self, filled):
        browser = await filled.browser("nia")
        await browser.get("/")
        csrf = dict(browser.page.forms[0])["csrf"]
        await browser.post("/logout", {"csrf": csrf})
        await browser.get("/")
        assert browser.path == "/login"

    async def test_forged_cookie_is_refused(self, filled):
        browser = await filled.browser()
        browser.client.session.cookie_jar.update_cookies(
            {"ebonydeal_session": "WyJuaWEiLCJ4IiwieSJd.aaaa.bbbb"}
        )
        await browser.get("/")
        assert browser.path == "/login"


class TestForms:
    async def test_post_without_csrf_token_is_refused(self, filled):
        browser = await filled.browser("nia")
        page = await browser.get("/remove/deployments/paperwork")
        form = [pair for pair in page.main_form() if pair[0] != "csrf"]
        await browser.post(
            "/remove/deployments/paperwork", form + [("action", "accept")]
        )
        assert browser.status == 403
        assert filled.tables.rows["config/head"].value == {"version": 1}

    async def test_form_from_another_site_is_refused(self, filled):
        browser = await filled.browser("nia")
        page = await browser.get("/remove/deployments/paperwork")
        resp = await browser.client.post(
            "/remove/deployments/paperwork",
            data=page.main_form() + [("action", "accept")],
            headers={"Origin": "http://elsewhere.example"},
        )
        assert resp.status == 403
        assert filled.tables.rows["config/head"].value == {"version": 1}

    async def test_pages_forbid_scripts_and_frames(self, filled):
        browser = await filled.browser("nia")
        resp = await browser.client.get("/")
        policy = resp.headers["Content-Security-Policy"]
        assert "default-src 'none'" in policy
        assert "frame-ancestors 'none'" in policy
        assert resp.headers["X-Content-Type-Options"] == "nosniff"

    async def test_markup_in_a_name_is_shown_as_text(self, filled):
        browser = await filled.browser("nia")
        resp = await browser.client.get("/explain", params={"id": "<script>x</script>"})
        assert "<script>" not in await resp.text()

    @pytest.mark.parametrize(
        "path", ["/nowhere", "/edit/accounts/nobody", "/history/99", "/history/x"]
    )
    async def test_not_found_is_shown_as_a_page(self, filled, path):
        browser = await filled.browser("nia")
        page = await browser.get(path)
        assert browser.status == 404
        assert "main" in page.tags


class TestAccessibility:
    @pytest.mark.parametrize(
        "path",
        [
            "/",
            "/deployments",
            "/edit/deployments/kitchen",
            "/edit/accounts/stores",
            "/document/edit",
            "/history",
            "/explain",
            "/remove/accounts/stores",
        ],
    )
    async def test_landmarks_labels_and_unique_ids(self, filled, path):
        browser = await filled.browser("nia")
        page = await browser.get(path)
        assert {"header", "nav", "main", "footer", "h1"} <= set(page.tags)
        assert page.tags.count("h1") == 1
        assert len(page.ids) == len(set(page.ids))
        assert page.labels <= set(page.ids)


class TestMalformedPosts:
    async def post(self, filled, **options):
        browser = await filled.browser("nia")
        resp = await browser.client.post("/add/deployments", **options)
        return resp.status

    async def test_multipart_without_boundary_is_refused(self, filled):
        headers = {"Content-Type": "multipart/form-data"}
        assert await self.post(filled, data=b"x", headers=headers) == 400

    async def test_unknown_charset_is_refused(self, filled):
        headers = {"Content-Type": "application/x-www-form-urlencoded; charset=welsh"}
        assert await self.post(filled, data=b"csrf=x", headers=headers) == 400

    async def test_invalid_utf8_is_refused(self, filled):
        headers = {"Content-Type": "application/x-www-form-urlencoded"}
        assert await self.post(filled, data=b"csrf=\xff", headers=headers) == 400

    async def test_file_instead_of_a_text_field_is_refused(self, filled):
        browser = await filled.browser("nia")
        page = await browser.get("/add/deployments")
        data = FormData()
        for name, value in page.main_form():
            if name != "models":
                data.add_field(name, value)
        data.add_field("models", b"x", filename="m.bin")
        resp = await browser.client.post("/add/deployments", data=data)
        assert resp.status == 422

    @pytest.mark.parametrize("base", ["", "x", "-1", "99"])
    async def test_invalid_base_version_is_refused(self, filled, base):
        browser = await filled.browser("nia")
        page = await browser.get("/add/accounts")
        await browser.post("/add/accounts", with_fields(page.main_form(), base=base))
        assert browser.status in (400, 404)
