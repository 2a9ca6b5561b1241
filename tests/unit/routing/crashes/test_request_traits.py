"""Prompt parts by which requests are compared."""

from ebonydeal._internal.routing.crashes.request_traits import RequestTraits


class TestPrompt:
    def test_its_last_part_is_its_own(self):
        one = RequestTraits.of_prompt("d1", "acme", ["a", "b", "own-1"])
        two = RequestTraits.of_prompt("d2", "acme", ["a", "b", "own-2"])
        assert one.parts == two.parts
        assert len(one.parts) == 2

    def test_a_prompt_of_one_part_or_none_shares_nothing(self):
        assert RequestTraits.of_prompt("d", "acme", ["a"]).parts == ()
        assert RequestTraits.of_prompt("d", "acme", []).parts == ()

    def test_names_of_parts_arent_kept_and_their_number_is_bounded(self):
        names = [f"part-{number}" for number in range(1000)]
        traits = RequestTraits.of_prompt("d", "acme", names)
        assert len(traits.parts) == 16
        assert not any("part" in part for part in traits.parts)
