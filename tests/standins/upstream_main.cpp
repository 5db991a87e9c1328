/// \file
/// Stand-in for an upstream with slots, a service time and a log of executed
/// calls.
///
/// Usage: standin-upstream IP:PORT SLOTS SERVICE_MS
///   /run/ID        occupies a slot for the service time, logs the run of ID
///   /bytes/N       streams N bytes, occupies a slot meanwhile
///   /load          the load report
///   /runs          the log: runs, peak of slots in use, shed calls
///   /set?KEY=N     draining=0|1, service=MS, lie=N (false number of busy slots
///                  to report)
#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/debug.h>

#include "entry/caller_service.h"
#include "json/json.h"

#include <algorithm>
#include <charconv>
#include <iostream>
#include <string>
#include <vector>

namespace mustardspoke {
namespace {

constexpr std::size_t ChunkBytes = 64 * 1024;

std::uint64_t number(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

/// One executed call.
struct Run {
  std::string m_Id;
  bool m_Ended = false;
};

class StandInUpstream final : public kj::HttpService {
public:
  StandInUpstream(kj::Timer &Timer, unsigned Slots, unsigned ServiceMs)
      : m_Timer(Timer), m_Slots(Slots), m_ServiceMs(ServiceMs) {}

  kj::Promise<void> request(kj::HttpMethod /*Method*/, kj::StringPtr Url,
                            const kj::HttpHeaders &RequestHeaders,
                            kj::AsyncInputStream &Body,
                            Response &CallerResponse) override {
    std::string Path(Url.cStr());
    if (Path == "/load")
      return sendText(CallerResponse, 200, loadReport());
    if (Path == "/runs")
      return sendText(CallerResponse, 200, runLog());
    if (Path.starts_with("/set?"))
      return set(Path.substr(5), CallerResponse);
    std::uint64_t Deadline = 0;
    KJ_IF_MAYBE (Value, RequestHeaders.get(m_Headers.m_Ids.m_UpstreamDeadline))
      Deadline = number(Value->cStr());
    return Body.readAllBytes().then(
        [this, Path, Deadline, &CallerResponse](kj::Array<kj::byte> /*Whole*/) {
          return serve(Path, Deadline, CallerResponse);
        });
  }

  const kj::HttpHeaderTable &table() const { return *m_Headers.m_Table; }

private:
  /// Occupies a slot until it is destroyed, also on cancellation.
  class Slot {
  public:
    explicit Slot(StandInUpstream &Owner) : m_Owner(Owner) {
      ++Owner.m_Busy;
      Owner.m_PeakBusy = std::max(Owner.m_PeakBusy, Owner.m_Busy);
    }
    ~Slot() noexcept(false) { --m_Owner.m_Busy; }

  private:
    StandInUpstream &m_Owner;
  };

  kj::Promise<void> serve(const std::string &Path, std::uint64_t Deadline,
                          Response &CallerResponse) {
    if (m_Busy >= m_Slots || m_Draining) {
      ++(m_Draining ? m_CallsWhileDraining : m_Overloads);
      return sendText(CallerResponse, 503, "{\"shed\":true}", true);
    }
    auto Occupied = kj::heap<Slot>(*this);
    kj::Promise<void> Work = kj::READY_NOW;
    if (Path.starts_with("/bytes/")) {
      Work = stream(number(std::string_view(Path).substr(7)), CallerResponse);
    } else {
      std::string Id = Path.starts_with("/run/") ? Path.substr(5) : Path;
      std::size_t Index = m_Runs.size();
      m_Runs.push_back({Id});
      Work = m_Timer.afterDelay(m_ServiceMs * kj::MILLISECONDS)
                 .then([this, Id, Index, &CallerResponse] {
                   m_Runs[Index].m_Ended = true;
                   return sendText(CallerResponse, 200,
                                   "{\"ran\":\"" + Id + "\"}");
                 });
    }
    if (Deadline > 0)
      Work = m_Timer.timeoutAfter(Deadline * kj::MILLISECONDS, kj::mv(Work));
    return Work.attach(kj::mv(Occupied));
  }

  kj::Promise<void> stream(std::uint64_t Bytes, Response &CallerResponse) {
    kj::HttpHeaders ResponseHeaders(table());
    auto Out = CallerResponse.send(200, "OK", ResponseHeaders, Bytes);
    auto &Stream = *Out;
    return pushBytes(Stream, Bytes).attach(kj::mv(Out));
  }

  kj::Promise<void> pushBytes(kj::AsyncOutputStream &Out,
                              std::uint64_t Remaining) {
    static const std::string Chunk(ChunkBytes, 'x');
    if (Remaining == 0)
      return kj::READY_NOW;
    auto Count = std::size_t(std::min<std::uint64_t>(Remaining, ChunkBytes));
    return Out.write(Chunk.data(), Count).then([this, &Out, Remaining, Count] {
      // A pause of the service time after each chunk makes the stream last long
      // enough for tests to interrupt it.
      auto Pause = m_ServiceMs * kj::MILLISECONDS;
      return m_Timer.afterDelay(Pause).then([this, &Out, Remaining, Count] {
        return pushBytes(Out, Remaining - Count);
      });
    });
  }

  kj::Promise<void> set(std::string_view Query, Response &CallerResponse) {
    auto Value = [&](const char *Key) { return queryValue(Query, Key); };
    if (!Value("draining").empty())
      m_Draining = Value("draining") == "1";
    if (!Value("service").empty())
      m_ServiceMs = unsigned(number(Value("service")));
    if (!Value("lie").empty())
      m_FalseBusy = unsigned(number(Value("lie")));
    return sendText(CallerResponse, 200, "{}");
  }

  std::string loadReport() const {
    Json Report = Json::object();
    Report.set("slots", Json(m_Slots));
    Report.set("busy", Json(m_FalseBusy > 0 ? m_FalseBusy : m_Busy));
    Report.set("draining", Json(m_Draining));
    return Report.toText();
  }

  std::string runLog() const {
    Json Log = Json::object();
    Json List = Json::array();
    for (const Run &Entry : m_Runs) {
      Json Line = Json::object();
      Line.set("id", Json(Entry.m_Id));
      Line.set("ended", Json(Entry.m_Ended));
      List.push(std::move(Line));
    }
    Log.set("runs", std::move(List));
    Log.set("busy", Json(m_Busy));
    Log.set("peak", Json(m_PeakBusy));
    Log.set("overloads", Json(m_Overloads));
    Log.set("whileDraining", Json(m_CallsWhileDraining));
    return Log.toText();
  }

  kj::Promise<void> sendText(Response &CallerResponse, unsigned Status,
                             std::string Body, bool NotRun = false) {
    kj::HttpHeaders ResponseHeaders(table());
    ResponseHeaders.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
    if (NotRun)
      ResponseHeaders.set(m_Headers.m_Ids.m_NotRun, "true");
    if (m_Draining)
      ResponseHeaders.set(m_Headers.m_Ids.m_Draining, "true");
    auto Out = CallerResponse.send(Status, "OK", ResponseHeaders, Body.size());
    return writeAndClose(kj::mv(Out), std::move(Body));
  }

  kj::Timer &m_Timer;
  HeaderTable m_Headers;
  unsigned m_Slots;
  unsigned m_ServiceMs;
  unsigned m_Busy = 0;
  unsigned m_PeakBusy = 0;
  unsigned m_Overloads = 0;
  unsigned m_CallsWhileDraining = 0;
  unsigned m_FalseBusy = 0;
  bool m_Draining = false;
  std::vector<Run> m_Runs;
};

} // namespace
} // namespace mustardspoke

int main(int Argc, char **Argv) {
  if (Argc != 4) {
    std::cerr << "usage: standin-upstream IP:PORT SLOTS SERVICE_MS\n";
    return 2;
  }
  auto Io = kj::setupAsyncIo();
  mustardspoke::StandInUpstream Service(
      Io.provider->getTimer(), unsigned(mustardspoke::number(Argv[2])),
      unsigned(mustardspoke::number(Argv[3])));
  kj::HttpServer Server(Io.provider->getTimer(), Service.table(), Service);
  auto Port = Io.provider->getNetwork()
                  .parseAddress(Argv[1])
                  .wait(Io.waitScope)
                  ->listen();
  Server.listenHttp(*Port).wait(Io.waitScope);
}
