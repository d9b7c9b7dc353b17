from __future__ import annotations

import pytest

from primroselever_core.identifiers import (
    Fingerprint,
    Incarnation,
    ServiceName,
    VmId,
    WorkspaceName,
)
from primroselever_core.outcomes import NotRun, Reason, Unknown
from primroselever_core.runs.start_book import StartBook
from primroselever_core.tickets.operation_ticket import OperationTicket
from primroselever_core.tickets.signing import TicketSigner, read_unverified
from primroselever_core.tickets.ticket_book import KeyScope, TicketBook

BODY = Fingerprint("f1")
OTHER_BODY = Fingerprint("f2")
SIGNER = TicketSigner(b"a key of the tests")


def new_book(incarnation: int = 7, max_keys: int = 10) -> TicketBook:
    return TicketBook(
        VmId("lag-a portal:1"), Incarnation(incarnation), StartBook(), max_keys
    )


def scope(key: str, workspace: str = "ministry") -> KeyScope:
    return KeyScope(ServiceName("renewals"), WorkspaceName(workspace), key)


@pytest.fixture
def book() -> TicketBook:
    return new_book()


def issue_ticket(book: TicketBook, key: str = "") -> OperationTicket:
    ticket = book.issue(BODY, scope(key) if key else None)
    assert isinstance(ticket, OperationTicket)
    return ticket


def test_a_signed_ticket_is_read_back_unchanged(book: TicketBook) -> None:
    ticket = issue_ticket(book)
    text = SIGNER.sign(ticket)
    assert text.isascii()
    assert SIGNER.verify(text) == ticket == read_unverified(text)
    assert book.check(ticket, BODY) is None


@pytest.mark.parametrize(
    "alter",
    [
        lambda text: text.replace("1:", "2:", 1),
        lambda text: text.replace(":1:f1", ":2:f1"),
        lambda text: text[:-9] + ("A" if text[-9] != "A" else "B") + text[-8:],
        lambda text: TicketSigner(b"another key").sign(read_unverified(text)),
        lambda text: "",
        lambda text: "é",
    ],
)
def test_a_forged_or_altered_ticket_is_invalid(book, alter) -> None:
    ticket = SIGNER.verify(alter(SIGNER.sign(issue_ticket(book))))
    assert book.check(ticket, BODY) == NotRun(Reason.TICKET_INVALID)


def test_a_ticket_is_bound_to_its_body(book: TicketBook) -> None:
    assert book.check(issue_ticket(book), OTHER_BODY) == NotRun(Reason.TICKET_INVALID)


def test_a_ticket_of_another_incarnation_is_unknown(book: TicketBook) -> None:
    earlier = issue_ticket(new_book(incarnation=6))
    assert book.check(earlier, BODY) == Unknown(Reason.TICKET_GONE)


def test_a_repeated_key_gets_the_same_ticket(book: TicketBook) -> None:
    first = issue_ticket(book, "k1")
    book.starts.mark_started(first.run_id, first.epoch)
    assert issue_ticket(book, "k1") == first
    assert issue_ticket(book, "k2") != first
    other = book.issue(BODY, scope("k1", workspace="guild"))
    assert other != first


def test_a_key_with_another_body_is_refused(book: TicketBook) -> None:
    issue_ticket(book, "k1")
    assert book.issue(OTHER_BODY, scope("k1")) == NotRun(Reason.KEY_REUSED)


def test_a_key_whose_ticket_was_refused_gets_a_new_one(book: TicketBook) -> None:
    first = issue_ticket(book, "k1")
    book.starts.mark_tombstone(first.run_id, first.epoch)
    assert issue_ticket(book, "k1") != first


def test_closing_epochs_keeps_the_keys_of_tickets_that_ran(book: TicketBook) -> None:
    ran, unused = issue_ticket(book, "ran"), issue_ticket(book, "unused")
    book.starts.mark_started(ran.run_id, ran.epoch)
    book.close_epoch()
    assert issue_ticket(book, "unused") == unused
    book.close_epoch()
    assert issue_ticket(book, "ran") == ran
    assert issue_ticket(book, "unused") != unused


def test_a_full_book_refuses_new_keys_while_its_tickets_may_start() -> None:
    book = new_book(max_keys=2)
    first = issue_ticket(book, "k1")
    book.starts.mark_started(first.run_id, first.epoch)
    issue_ticket(book, "k2")
    refusal = book.issue(BODY, scope("k3"))
    assert isinstance(refusal, NotRun)
    assert refusal.reason is Reason.OVERLOADED
    assert issue_ticket(book, "k1") == first
    book.close_epoch()
    book.close_epoch()
    issue_ticket(book, "k3")


def test_a_key_with_a_new_ticket_does_not_block_dropping_older_keys() -> None:
    book = new_book(max_keys=2)
    first = issue_ticket(book, "renewed")
    book.starts.mark_tombstone(first.run_id, first.epoch)
    used = issue_ticket(book, "used")
    book.starts.mark_started(used.run_id, used.epoch)
    book.starts.advance_epoch()
    assert issue_ticket(book, "renewed") != first
    book.starts.advance_epoch()
    issue_ticket(book, "new")
    assert set(book.tickets_by_key) == {scope("renewed"), scope("new")}
