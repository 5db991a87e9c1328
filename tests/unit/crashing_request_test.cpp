/// \file
/// Requests under which upstreams end, through real sockets on loopback.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/exchange_rig.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

std::string get(const std::string &Path, const std::string &Id) {
  return "GET /safe/" + Path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
         "\r\n\r\n";
}

/// \brief A gateway whose upstreams end when they begin to run "/safe/deadly",
/// and answer everything else.
class FragileUpstreams {
public:
  explicit FragileUpstreams(unsigned Count) {
    for (unsigned I = 0; I < Count; ++I)
      add("u" + std::to_string(I));
  }
  void add(const std::string &UpstreamId) {
    m_Rig.upstream(UpstreamId,
                   [this, UpstreamId](ServerSide &Side) -> awaitable<void> {
                     for (;;) {
                       std::string Id = co_await Side.readRequest();
                       if (Id.empty())
                         co_return;
                       if (Side.head().m_Target == "/safe/deadly") {
                         ++m_Ended;
                         m_Rig.crashUpstream(UpstreamId);
                         co_return;
                       }
                       co_await Side.respond(Id, Id);
                     }
                   });
  }

  ExchangeRig m_Rig;
  unsigned m_Ended = 0; ///< Upstreams that the request has ended.
};

/// More sends than this break the users' rule: three upstreams end, and three
/// retries follow.
constexpr unsigned MaxEnded = 6;

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingRequests)

/// Callers that return with a request that ends its upstreams took down all
/// upstreams of the service.
BOOST_AUTO_TEST_CASE(RequestThatEndsItsUpstreamsIsNotSentOnAndOn) {
  FragileUpstreams Upstreams(12);
  for (unsigned I = 0; I < 10; ++I)
    (void)Upstreams.m_Rig.ask(get("deadly", "d" + std::to_string(I)));
  BOOST_TEST(Upstreams.m_Ended <= MaxEnded);
  BOOST_TEST(Upstreams.m_Rig.ask(get("x", "a")).m_Body == "a");
}

BOOST_AUTO_TEST_SUITE_END()
