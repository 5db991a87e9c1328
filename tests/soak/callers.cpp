/// \file
/// Look-ups, sessions and answers of the soak's callers.
#include "soak/callers.h"

#include "gateway/http_client.h"
#include "support/server_side.h"

#include "json/json.h"

#include <boost/asio/write.hpp>

namespace mustardspoke::soak {

using namespace steer;

namespace {

constexpr Duration LookupWithin = 1s;
constexpr Duration ConnectWithin = 1s;
/// No answer within this is none; far over every route's timeout.
constexpr Duration AnswerWithin = 20s;
constexpr Duration MostComeBack = 300ms; ///< Callers wait no longer than this.
constexpr unsigned KeyCount = 60;        ///< Objects that requests concern.
constexpr unsigned MostRounds = 20;      ///< Of one connection.
constexpr unsigned MostPauseMs = 50;     ///< Between two rounds, usually.
/// Callers use connections up to four fifths of the time after which the
/// configuration closes idle ones.
constexpr unsigned MostIdleMs = 3200;

struct KindOfAsk {
  const char *m_Line;
  const char *m_Body; ///< Empty: none.
};
constexpr KindOfAsk Kinds[] = {{"GET /read/x HTTP/1.1\r\n", ""},
                               {"POST /order/x HTTP/1.1\r\n", "hopper"},
                               {"GET /edition/x HTTP/1.1\r\n", ""}};

Ask draw(Random &Rng) {
  unsigned Of10 = Rng(10);
  return Of10 < 5 ? Ask::Read : Of10 < 8 ? Ask::Order : Ask::Edition;
}

} // namespace

/// \brief One connection and what was read ahead on it.
struct Callers::Session {
  explicit Session(asio::io_context &Io, unsigned Vm)
      : m_Socket(Io), m_Timer(Io), m_Vm(Vm) {}

  Tcp::socket m_Socket;
  CloseTimer m_Timer;
  HttpParser m_Reader{HttpParser::Role::Responses, 65536, 1 << 20};
  std::string m_In;
  unsigned m_Vm;
  Duration m_ComeBack{};    ///< Of the last refusal.
  TimePoint m_AnsweredAt{}; ///< Last answer; zero before the first.
};

Callers::Callers(asio::io_context &Io, Ledger &Log, std::vector<VmPorts> Vms,
                 std::uint64_t Seed)
    : m_Io(Io), m_Log(Log), m_Vms(std::move(Vms)), m_Seed(Seed) {}

void Callers::start(unsigned Count) {
  for (unsigned I = 0; I < Count; ++I) {
    ++m_Open;
    test::spawn(m_Io, [this, I]() { return callerLoop(m_Seed * 1000 + I); });
  }
}

awaitable<void> Callers::callerLoop(std::uint64_t Seed) {
  Random Rng(Seed);
  while (!m_Stopping) {
    std::optional<unsigned> Vm = co_await lookUp(Rng);
    if (Vm)
      co_await session(*Vm, Rng);
    else
      co_await sleepFor(m_Io, MostComeBack);
  }
  --m_Open;
}

awaitable<std::optional<unsigned>> Callers::lookUp(Random &Rng) {
  const VmPorts &Asked = m_Vms[Rng(std::uint32_t(m_Vms.size()))];
  HttpClientConnection Link(m_Io, Asked.m_Lookups, LookupWithin);
  std::string Target =
      "/mustardspoke/resolve?name=soak.example&region=east&zone=east-a";
  HttpResponse Reply =
      co_await Link.call("GET", std::move(Target), {}, LookupWithin);
  if (Reply.m_Error || Reply.m_Head.m_Status != 200)
    co_return std::nullopt;
  JsonResult Parsed = parseJson(Reply.m_Body);
  const Json *List = Parsed.m_Value.find("addresses");
  if (!List || List->items().empty())
    co_return std::nullopt;
  auto Which = Rng(std::uint32_t(List->items().size()));
  for (unsigned Vm = 0; Vm < m_Vms.size(); ++Vm)
    if (m_Vms[Vm].m_Callers == List->items()[Which].asText())
      co_return Vm;
  m_Log.m_Violations.push_back("a look-up named " +
                               List->items()[Which].asText());
  co_return std::nullopt;
}

awaitable<void> Callers::session(unsigned Vm, Random &Rng) {
  Session On(m_Io, Vm);
  NetError Error;
  auto To = parseEndpoint<Tcp>(m_Vms[Vm].m_Callers).value();
  On.m_Socket.open(To.protocol());
  On.m_Timer.arm(On.m_Socket, steadyNow() + ConnectWithin);
  co_await On.m_Socket.async_connect(To, noThrow(Error));
  On.m_Timer.disarm();
  if (Error) {
    co_await sleepFor(m_Io, MostComeBack);
    co_return;
  }
  unsigned Rounds = 1 + Rng(MostRounds);
  for (unsigned Round = 0; Round < Rounds && !m_Stopping; ++Round) {
    if (peek(On.m_Socket) != PeekResult::Nothing)
      co_return; // Closed while idle.
    if (Rng(40) == 0) {
      co_await leaveEarly(On, draw(Rng));
      co_return;
    }
    std::vector<Ask> What{draw(Rng)};
    if (What[0] != Ask::Order && Rng(4) == 0)
      What.push_back(draw(Rng)); // Sent before the first is answered.
    if (!co_await exchange(On, std::move(What)))
      break;
    // A few connections idle for long.
    Duration Pause = Rng(Rng(30) == 0 ? MostIdleMs : MostPauseMs) * 1ms;
    co_await sleepFor(m_Io, std::min(Pause, m_Stopping ? 1ms : Pause));
  }
  if (On.m_ComeBack > Duration::zero())
    co_await sleepFor(m_Io, std::min(On.m_ComeBack, MostComeBack));
}

std::size_t Callers::begin(const Session &On, Ask What) {
  Attempt One;
  One.m_Id = "s" + std::to_string(m_Seed) + "-" +
             std::to_string(m_Log.m_Attempts.size());
  One.m_Repeatable = What != Ask::Order;
  One.m_Vm = On.m_Vm;
  One.m_SentAt = steadyNow();
  if (On.m_AnsweredAt != TimePoint())
    One.m_IdleBefore = One.m_SentAt - On.m_AnsweredAt;
  m_Log.m_Attempts.push_back(std::move(One));
  return m_Log.m_Attempts.size() - 1;
}

std::string Callers::textOf(std::size_t Index, Ask What) const {
  const KindOfAsk &Kind = Kinds[std::size_t(What)];
  std::string Body = Kind.m_Body;
  return Kind.m_Line + std::string("Host: soak.example\r\nX-Request-Id: ") +
         m_Log.m_Attempts[Index].m_Id +
         "\r\nX-Affinity-Key: " + std::to_string(Index % KeyCount) + "\r\n" +
         (Body.empty()
              ? ""
              : "Content-Length: " + std::to_string(Body.size()) + "\r\n") +
         "\r\n" + Body;
}

void Callers::end(std::size_t Index, Ending How) {
  m_Log.m_Attempts[Index].m_Ending = How;
  m_Log.m_Attempts[Index].m_EndedAt = steadyNow();
}

awaitable<bool> Callers::exchange(Session &On, std::vector<Ask> What) {
  std::vector<std::size_t> Sent;
  std::string Out;
  for (Ask One : What) {
    Sent.push_back(begin(On, One));
    Out += textOf(Sent.back(), One);
  }
  NetError Error;
  co_await asio::async_write(On.m_Socket, asio::buffer(Out), noThrow(Error));
  for (std::size_t I = 0; I < Sent.size(); ++I) {
    if (!co_await readAnswer(On, Sent[I])) {
      for (; I < Sent.size(); ++I)
        end(Sent[I], Ending::Cut);
      co_return false;
    }
    if (On.m_Reader.head().m_KeepAlive)
      continue;
    for (++I; I < Sent.size(); ++I)
      end(Sent[I], Ending::Unread);
    co_return false;
  }
  co_return true;
}

awaitable<void> Callers::leaveEarly(Session &On, Ask What) {
  std::size_t Index = begin(On, What);
  std::string Out = textOf(Index, What);
  NetError Ignored;
  co_await asio::async_write(On.m_Socket, asio::buffer(Out), noThrow(Ignored));
  co_await sleepFor(m_Io, 10ms);
  On.m_Socket.close(Ignored);
  end(Index, Ending::Left);
}

awaitable<bool> Callers::readAnswer(Session &On, std::size_t Index) {
  On.m_Timer.arm(On.m_Socket, steadyNow() + AnswerWithin);
  On.m_Reader.nextMessage();
  char Piece[4096];
  for (;;) {
    On.m_In.erase(0, On.m_Reader.feed(On.m_In));
    if (On.m_Reader.done())
      break;
    NetError Error;
    std::size_t Got = co_await On.m_Socket.async_read_some(asio::buffer(Piece),
                                                           noThrow(Error));
    if (Error || On.m_Reader.parseError() != HttpParseError::None)
      co_return false;
    On.m_In.append(Piece, Got);
  }
  On.m_Timer.disarm();
  end(Index, Ending::Answered);
  On.m_AnsweredAt = steadyNow();
  Attempt &One = m_Log.m_Attempts[Index];
  One.m_Status = On.m_Reader.head().m_Status;
  One.m_Body = On.m_Reader.body();
  const std::string *ComeBack = On.m_Reader.head().find("Retry-After");
  On.m_ComeBack = ComeBack ? Duration(std::int64_t(
                                 std::strtod(ComeBack->c_str(), nullptr) * 1e6))
                           : Duration::zero();
  co_return true;
}

awaitable<unsigned> Callers::once(unsigned Vm, Ask What) {
  Session On(m_Io, Vm);
  NetError Error;
  co_await On.m_Socket.async_connect(
      parseEndpoint<Tcp>(m_Vms[Vm].m_Callers).value(), noThrow(Error));
  if (Error)
    co_return 0;
  std::size_t Index = m_Log.m_Attempts.size();
  std::vector<Ask> One{What};
  co_await exchange(On, std::move(One));
  co_return m_Log.m_Attempts[Index].m_Status;
}

awaitable<bool> Callers::ready(unsigned Vm) {
  HttpClientConnection Link(m_Io, m_Vms[Vm].m_Ready, LookupWithin);
  HttpResponse Reply =
      co_await Link.call("GET", "/mustardspoke/ready", {}, LookupWithin);
  co_return !Reply.m_Error && Reply.m_Head.m_Status == 200;
}

} // namespace mustardspoke::soak
