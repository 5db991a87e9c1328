/// \file
/// Requests load reports, each over its own connection.
#include "entry/load_poller.h"

#include "entry/answer_stream.h"

#include <kj/debug.h>

namespace mustardspoke {

kj::Promise<void> LoadPoller::poll() {
  std::vector<Upstream> Targets =
      m_Core.access()->upstreamsToPoll(monotonicNow());
  auto Polls = kj::heapArrayBuilder<kj::Promise<void>>(Targets.size());
  for (const Upstream &Target : Targets)
    Polls.add(pollUpstream(Target));
  return kj::joinPromises(Polls.finish());
}

kj::Promise<void> LoadPoller::pollUpstream(const Upstream &Target) {
  auto Poll =
      m_Network.parseAddress(Target.m_Address)
          .then([](kj::Own<kj::NetworkAddress> Parsed) {
            auto Connecting = Parsed->connect();
            return Connecting.attach(kj::mv(Parsed));
          })
          .then([this](kj::Own<kj::AsyncIoStream> Socket) {
            auto Stream = kj::heap<AnswerStream>(kj::mv(Socket));
            auto Client = kj::newHttpClient(*m_Headers.m_Table, *Stream);
            kj::HttpHeaders RequestHeaders(*m_Headers.m_Table);
            auto Sent = Client->request(kj::HttpMethod::GET, "/load",
                                        RequestHeaders, std::uint64_t(0));
            return Sent.response
                .then([](kj::HttpClient::Response &&Response) {
                  constexpr kj::uint StatusOk = 200;
                  // NOLINTNEXTLINE(bugprone-suspicious-semicolon)
                  KJ_REQUIRE(Response.statusCode == StatusOk);
                  auto Reading = Response.body->readAllText(MaxReportBytes);
                  return Reading.attach(kj::mv(Response.body));
                })
                // Separate attach() calls destroy the client before the stream
                // that it uses.
                .attach(kj::mv(Client))
                .attach(kj::mv(Stream));
          })
          .then([this, Name = Target.m_Name](kj::String Text) {
            JsonResult Parsed = parseJson(Text.cStr());
            if (!Parsed)
              return;
            const Json &Body = Parsed.m_Value;
            LoadReport Report{std::uint32_t(Body.integerOr("slots", 0)),
                              std::uint32_t(Body.integerOr("busy", 0)),
                              Body.boolOr("draining", false)};
            m_Core.access()->onLoadReport(Name, Report, monotonicNow());
          });
  return m_Timer.timeoutAfter(PollTimeout, kj::mv(Poll))
      .catch_([](kj::Exception && /*NoReport*/) {});
}

} // namespace mustardspoke
