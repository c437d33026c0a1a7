from __future__ import annotations

from aspenbridge.relay import Custody


class Host:
    refuses = False


def custody_of(host) -> Custody:
    return Custody(lambda: host.refuses)


def test_request_is_passed_on_until_its_host_refuses_new_ones():
    host = Host()
    early, late = custody_of(host), custody_of(host)
    assert early.pass_on()
    host.refuses = True
    assert not late.pass_on()
    assert not late.passed_on


def test_request_that_an_engine_may_have_run_is_sent_again_while_its_host_stops():
    host = Host()
    custody = custody_of(host)
    custody.pass_on()
    host.refuses = True
    assert custody.pass_on()


def test_request_that_an_engine_turned_away_is_not_sent_again_while_its_host_stops():
    host = Host()
    custody = custody_of(host)
    custody.pass_on()
    custody.take_back()
    host.refuses = True
    assert not custody.pass_on()


def test_request_that_was_given_up_is_never_passed_on():
    given_up, sent = Custody(), Custody()
    sent.pass_on()
    for custody in (given_up, sent):
        custody.give_up()
        assert not custody.pass_on()
    assert (given_up.passed_on, sent.passed_on) == (False, True)
