from ebonydeal._internal.controller.missing_instances import MissingInstances


class TestMissingInstances:
    def test_missing_from_one_list_is_not_gone(self):
        assert MissingInstances(20.0).update({"a"}, {}, set(), 0.0) == set()

    def test_gone_after_two_lists_if_the_engine_does_not_answer(self):
        missing_instances = MissingInstances(20.0)
        missing_instances.update({"a", "b"}, {}, {"b"}, 0.0)
        assert missing_instances.update({"a", "b"}, {}, {"b"}, 2.0) == {"a"}
        assert missing_instances.update({"a", "b"}, {}, {"b"}, 20.0) == {"a", "b"}

    def test_reappearing_in_a_list_resets_the_count(self):
        missing_instances = MissingInstances(20.0)
        missing_instances.update({"a"}, {}, set(), 0.0)
        assert missing_instances.update({"a"}, {"a": 1}, set(), 2.0) == set()
        assert missing_instances.update({"a"}, {}, set(), 4.0) == set()
