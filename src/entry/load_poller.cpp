/// \file
/// One HTTP request for each report.
#include "entry/load_poller.h"

namespace mustardspoke {

kj::Promise<void> LoadPoller::poll() {
  std::vector<Upstream> Mine = m_Core.access()->upstreamsToPoll(monotonicNow());
  auto All = kj::heapArrayBuilder<kj::Promise<void>>(Mine.size());
  for (const Upstream &Of : Mine)
    All.add(pollOne(Of));
  return kj::joinPromises(All.finish());
}

kj::Promise<void> LoadPoller::pollOne(const Upstream &Of) {
  auto Work =
      m_Network.parseAddress(Of.m_Address)
          .then([](kj::Own<kj::NetworkAddress> Parsed) {
            auto Connecting = Parsed->connect();
            return Connecting.attach(kj::mv(Parsed));
          })
          .then([this](kj::Own<kj::AsyncIoStream> Stream) {
            auto Client = kj::newHttpClient(*m_Headers.m_Table, *Stream);
            kj::HttpHeaders With(*m_Headers.m_Table);
            auto Sent = Client->request(kj::HttpMethod::GET, "/load", With,
                                        std::uint64_t(0));
            return Sent.response
                .then([](kj::HttpClient::Response &&Got) {
                  auto Reading = Got.body->readAllText(MostBytes);
                  return Reading.attach(kj::mv(Got.body));
                })
                // One attach each: the client has to go before its stream.
                .attach(kj::mv(Client))
                .attach(kj::mv(Stream));
          })
          .then([this, Name = Of.m_Name](kj::String Text) {
            JsonResult Parsed = parseJson(Text.cStr());
            if (!Parsed)
              return;
            const Json &From = Parsed.m_Value;
            LoadReport Report{std::uint32_t(From.integerOr("slots", 0)),
                              std::uint32_t(From.integerOr("busy", 0)),
                              From.boolOr("draining", false)};
            m_Core.access()->onLoadReport(Name, Report, monotonicNow());
          });
  return m_Timer.timeoutAfter(ReplyWithin, kj::mv(Work))
      .catch_([](kj::Exception && /*NoReport*/) {});
}

} // namespace mustardspoke
