from ebonydeal._internal.controller.vanished import Vanished


class TestVanished:
    def test_one_list_proves_nothing(self):
        assert Vanished(20.0).gone({"a"}, {}, set(), 0.0) == set()

    def test_two_lists_and_a_silent_engine_do(self):
        vanished = Vanished(20.0)
        vanished.gone({"a", "b"}, {}, {"b"}, 0.0)
        assert vanished.gone({"a", "b"}, {}, {"b"}, 2.0) == {"a"}
        assert vanished.gone({"a", "b"}, {}, {"b"}, 20.0) == {"a", "b"}

    def test_a_list_that_shows_it_again_starts_anew(self):
        vanished = Vanished(20.0)
        vanished.gone({"a"}, {}, set(), 0.0)
        assert vanished.gone({"a"}, {"a": 1}, set(), 2.0) == set()
        assert vanished.gone({"a"}, {}, set(), 4.0) == set()
