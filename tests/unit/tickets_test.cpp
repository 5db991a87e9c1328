/// \file
/// Tests of tickets: text form, claims, expiry and handover.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "core/core.h"

#include <rapidcheck.h>

using namespace mustardspoke;

namespace {

const VmIncarnation Owner{VmName("vm-1"), 7};
constexpr TimePoint Start{100s};

TicketTable makeTable() { return {Owner, Start, 60, 100}; }

Ticket makeTicket(std::uint64_t Id, std::uint64_t IssuedAt) {
  return {{1, Id}, ServiceName("orders"), Owner, IssuedAt};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Tickets)

BOOST_AUTO_TEST_CASE(TextFormRoundTrips) {
  Ticket T = makeTicket(0xabcdef, 12);
  auto Parsed = Ticket::parse(T.toText());
  BOOST_REQUIRE(Parsed);
  BOOST_TEST((Parsed->m_Id == T.m_Id));
  BOOST_TEST((Parsed->m_Owner == T.m_Owner));
  BOOST_TEST(Parsed->m_IssuedAt == 12);
}

BOOST_AUTO_TEST_CASE(AnyTextIsParsedOrRefused) {
  BOOST_TEST(rc::check("parse never crashes", [](const std::string &Text) {
    (void)Ticket::parse(Text);
  }));
  BOOST_TEST(rc::check("broken tickets are refused", [](std::uint8_t Cut) {
    std::string Whole = makeTicket(5, 3).toText();
    RC_PRE(Cut < Whole.size() - 2);
    RC_ASSERT(!Ticket::parse(Whole.substr(Cut + 1)));
  }));
}

BOOST_AUTO_TEST_CASE(ClaimsOnce) {
  TicketTable Table = makeTable();
  Ticket T = makeTicket(1, 1);
  BOOST_TEST((TicketTable::claimOnce(Table, T, Start).m_Kind ==
              TicketVerdict::Kind::Run));
  BOOST_TEST((TicketTable::claimOnce(Table, T, Start).m_Error ==
              ErrorKind::TicketInProgress));
  Table.recordOutcome(T.m_Id, TicketState::NotRun);
  BOOST_TEST((TicketTable::claimOnce(Table, T, Start).m_Error ==
              ErrorKind::TicketClosed));
}

BOOST_AUTO_TEST_CASE(RepeatGetsTheStoredAnswer) {
  TicketTable Table = makeTable();
  Ticket T = makeTicket(1, 1);
  (void)TicketTable::claimOnce(Table, T, Start);
  Table.recordOutcome(T.m_Id, TicketState::Done);
  Table.keepAnswer(T.m_Id, {201, "text/plain", "booked", true});
  TicketVerdict Verdict = TicketTable::claimOnce(Table, T, Start);
  BOOST_REQUIRE((Verdict.m_Kind == TicketVerdict::Kind::Replay));
  BOOST_TEST(Verdict.m_Record->m_Answer.m_Body == "booked");
}

BOOST_AUTO_TEST_CASE(PrunedTicketIsNeverRunAgain) {
  TicketTable Table = makeTable();
  Ticket T = makeTicket(1, 1);
  (void)TicketTable::claimOnce(Table, T, Start);
  Table.recordOutcome(T.m_Id, TicketState::Done);
  TimePoint Later = Start + 70s;
  Table.prune(Later);
  BOOST_TEST(Table.size() == 0);
  BOOST_TEST((TicketTable::claimOnce(Table, T, Later).m_Error ==
              ErrorKind::TicketForgotten));
}

BOOST_AUTO_TEST_CASE(TicketIssuedInTheFutureIsRefused) {
  TicketTable Table = makeTable();
  BOOST_TEST((TicketTable::claimOnce(Table, makeTicket(1, 9), Start).m_Error ==
              ErrorKind::TicketForgotten));
}

BOOST_AUTO_TEST_CASE(FullTableRefusesWithUnknownOutcome) {
  TicketTable Table(Owner, Start, 60, 1);
  (void)TicketTable::claimOnce(Table, makeTicket(1, 1), Start);
  TicketVerdict Verdict =
      TicketTable::claimOnce(Table, makeTicket(2, 1), Start);
  BOOST_TEST((errorInfo(Verdict.m_Error).m_Outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(HandoverKeepsClaimedTickets) {
  TicketTable Predecessor = makeTable();
  Ticket Claimed = makeTicket(1, 1);
  Ticket Unused = makeTicket(2, 1);
  (void)TicketTable::claimOnce(Predecessor, Claimed, Start);
  TicketHandover Handover = Predecessor.handOver(Start + 2s);
  BOOST_TEST(!TicketTable::ownsIncarnation(Predecessor, Owner));
  BOOST_TEST((TicketTable::claimOnce(Predecessor, Unused, Start).m_Error ==
              ErrorKind::TicketForgotten));

  TicketTable Successor({VmName("vm-2"), 1}, Start, 60, 100);
  Successor.takeOver(Handover, Start + 3s);
  BOOST_TEST(TicketTable::ownsIncarnation(Successor, Owner));
  BOOST_TEST((TicketTable::claimOnce(Successor, Claimed, Start + 3s).m_Error ==
              ErrorKind::TicketForgotten));
  BOOST_TEST((TicketTable::claimOnce(Successor, Unused, Start + 3s).m_Kind ==
              TicketVerdict::Kind::Run));
  BOOST_TEST((TicketTable::claimOnce(Successor, Unused, Start + 90s).m_Kind ==
              TicketVerdict::Kind::Refuse));
}

BOOST_AUTO_TEST_SUITE_END()
