from ebonydeal._internal.controller.missing_instances import MissingInstances


class TestMissingInstances:
    def test_one_list_proves_nothing(self):
        assert MissingInstances(20.0).update({"a"}, {}, set(), 0.0) == set()

    def test_two_lists_and_a_silent_engine_do(self):
        missing_instances = MissingInstances(20.0)
        missing_instances.update({"a", "b"}, {}, {"b"}, 0.0)
        assert missing_instances.update({"a", "b"}, {}, {"b"}, 2.0) == {"a"}
        assert missing_instances.update({"a", "b"}, {}, {"b"}, 20.0) == {"a", "b"}

    def test_a_list_that_shows_it_again_starts_anew(self):
        missing_instances = MissingInstances(20.0)
        missing_instances.update({"a"}, {}, set(), 0.0)
        assert missing_instances.update({"a"}, {"a": 1}, set(), 2.0) == set()
        assert missing_instances.update({"a"}, {}, set(), 4.0) == set()
