from ebonydeal._internal.routing.duties.usage_ledger import DueWindow, UsageLedger

ACCOUNTS = ["a", "b"]


def ledger():
    made = UsageLedger(5.0, 10.0)
    made.reported = 19
    return made


class TestUsageLedger:
    def test_totals_are_summed_over_relays_and_incarnations(self):
        one = ledger()
        one.add_report("n1/x", {20: {"a": 3}}, 104.0)
        one.add_report("n1/y", {20: {"a": 2}}, 105.4)
        one.add_report("n2/x", {20: {"b": 4}}, 105.4)
        one.forget("n1/x")
        assert one.due(105.5, ACCOUNTS) == DueWindow(20, {"a": 5, "b": 4})

    def test_repeated_and_late_reports_change_nothing(self):
        one = ledger()
        one.add_report("n1/x", {20: {"a": 3}}, 105.4)
        one.add_report("n1/x", {20: {"a": 3}}, 105.4)
        one.add_report("n1/x", {20: {"a": 1}}, 104.0)
        assert one.counts(20, ACCOUNTS) == {"a": 3, "b": 0}

    def test_waits_for_each_relay_but_not_forever(self):
        one = ledger()
        one.add_report("n1/x", {20: {"a": 3}}, 105.4)
        one.add_report("n2/x", {}, 104.9)
        assert one.due(105.5, ACCOUNTS) is None
        assert one.due(108.1, ACCOUNTS) == DueWindow(20, {"a": 3, "b": 0})

    def test_open_window_is_never_due(self):
        one = ledger()
        one.add_report("n1/x", {20: {"a": 3}}, 104.9)
        assert one.due(104.9, ACCOUNTS) is None
        assert one.due(105.2, ACCOUNTS) is None

    def test_windows_past_the_deadline_are_skipped(self):
        one = ledger()
        assert one.due(141.0, ACCOUNTS) == DueWindow(26, {"a": 0, "b": 0})

    def test_reported_window_is_not_due_again(self):
        one = ledger()
        one.add_report("n1/x", {20: {"a": 3}}, 105.9)
        one.reported = 20
        assert one.due(106.0, ACCOUNTS) is None

    def test_stored_totals_survive_the_loss_of_all_processes(self):
        one = ledger()
        one.add_report("n1/x", {20: {"a": 3}, 21: {"a": 1}}, 106.0)
        one.reported = 20
        again = ledger()
        for relay, windows in one.open_windows().items():
            again.add_totals(relay, windows)
        again.add_report("n1/y", {21: {"a": 2}}, 110.4)
        assert again.due(108.0, ACCOUNTS) == DueWindow(20, {"a": 0, "b": 0})
        again.reported = 20
        assert again.due(110.5, ACCOUNTS) == DueWindow(21, {"a": 3, "b": 0})
