/// \file
/// Stand-in for an upstream with slots, a service time and a log of runs.
///
/// Usage: standin-upstream IP:PORT SLOTS SERVICE_MS
///   /run/ID        takes a slot for the service time, logs the run of ID
///   /bytes/N       streams N bytes in a slot
///   /load          its load report
///   /runs          the log: every run, the peak of slots in use, sheds
///   /set?KEY=N     draining=0|1, service=MS, lie=N (busy slots it reports)
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

/// One line of the log.
struct Run {
  std::string m_Id;
  bool m_Ended = false;
};

class StandInUpstream final : public kj::HttpService {
public:
  StandInUpstream(kj::Timer &Timer, unsigned Slots, unsigned ServiceMs)
      : m_Timer(Timer), m_Slots(Slots), m_ServiceMs(ServiceMs) {}

  kj::Promise<void> request(kj::HttpMethod /*Method*/, kj::StringPtr Url,
                            const kj::HttpHeaders &With,
                            kj::AsyncInputStream &Body, Response &To) override {
    std::string Path(Url.cStr());
    if (Path == "/load")
      return text(To, 200, loadReport());
    if (Path == "/runs")
      return text(To, 200, runLog());
    if (Path.starts_with("/set?"))
      return set(Path.substr(5), To);
    std::uint64_t Deadline = 0;
    KJ_IF_MAYBE (Value, With.get(m_Headers.m_Ids.m_UpstreamDeadline))
      Deadline = number(Value->cStr());
    return Body.readAllBytes().then(
        [this, Path, Deadline, &To](kj::Array<kj::byte> /*Whole*/) {
          return serve(Path, Deadline, To);
        });
  }

  const kj::HttpHeaderTable &table() const { return *m_Headers.m_Table; }

private:
  /// A slot in use; its end, however it comes, frees the slot.
  class Slot {
  public:
    explicit Slot(StandInUpstream &Of) : m_Of(Of) {
      ++Of.m_Busy;
      Of.m_Peak = std::max(Of.m_Peak, Of.m_Busy);
    }
    ~Slot() noexcept(false) { --m_Of.m_Busy; }

  private:
    StandInUpstream &m_Of;
  };

  kj::Promise<void> serve(const std::string &Path, std::uint64_t Deadline,
                          Response &To) {
    if (m_Busy >= m_Slots || m_Draining) {
      ++(m_Draining ? m_WhileDraining : m_Overloads);
      return text(To, 503, "{\"shed\":true}", true);
    }
    auto Held = kj::heap<Slot>(*this);
    kj::Promise<void> Work = kj::READY_NOW;
    if (Path.starts_with("/bytes/")) {
      Work = stream(number(std::string_view(Path).substr(7)), To);
    } else {
      std::string Id = Path.starts_with("/run/") ? Path.substr(5) : Path;
      std::size_t At = m_Runs.size();
      m_Runs.push_back({Id});
      Work = m_Timer.afterDelay(m_ServiceMs * kj::MILLISECONDS)
                 .then([this, Id, At, &To] {
                   m_Runs[At].m_Ended = true;
                   return text(To, 200, "{\"ran\":\"" + Id + "\"}");
                 });
    }
    if (Deadline > 0)
      Work = m_Timer.timeoutAfter(Deadline * kj::MILLISECONDS, kj::mv(Work));
    return Work.attach(kj::mv(Held));
  }

  kj::Promise<void> stream(std::uint64_t Bytes, Response &To) {
    kj::HttpHeaders With(table());
    auto Out = To.send(200, "OK", With, Bytes);
    auto &Stream = *Out;
    return pushBytes(Stream, Bytes).attach(kj::mv(Out));
  }

  kj::Promise<void> pushBytes(kj::AsyncOutputStream &Out, std::uint64_t Left) {
    static const std::string Chunk(ChunkBytes, 'x');
    if (Left == 0)
      return kj::READY_NOW;
    auto Count = std::size_t(std::min<std::uint64_t>(Left, ChunkBytes));
    return Out.write(Chunk.data(), Count).then([this, &Out, Left, Count] {
      // The service time spreads the stream, so that tests can interrupt it.
      auto Pause = m_ServiceMs * kj::MILLISECONDS;
      return m_Timer.afterDelay(Pause).then(
          [this, &Out, Left, Count] { return pushBytes(Out, Left - Count); });
    });
  }

  kj::Promise<void> set(std::string_view Query, Response &To) {
    auto Value = [&](const char *Key) { return queryValue(Query, Key); };
    if (!Value("draining").empty())
      m_Draining = Value("draining") == "1";
    if (!Value("service").empty())
      m_ServiceMs = unsigned(number(Value("service")));
    if (!Value("lie").empty())
      m_Lie = unsigned(number(Value("lie")));
    return text(To, 200, "{}");
  }

  std::string loadReport() const {
    Json Report = Json::object();
    Report.set("slots", Json(m_Slots));
    Report.set("busy", Json(m_Lie > 0 ? m_Lie : m_Busy));
    Report.set("draining", Json(m_Draining));
    return Report.toText();
  }

  std::string runLog() const {
    Json Log = Json::object();
    Json List = Json::array();
    for (const Run &One : m_Runs) {
      Json Line = Json::object();
      Line.set("id", Json(One.m_Id));
      Line.set("ended", Json(One.m_Ended));
      List.push(std::move(Line));
    }
    Log.set("runs", std::move(List));
    Log.set("busy", Json(m_Busy));
    Log.set("peak", Json(m_Peak));
    Log.set("overloads", Json(m_Overloads));
    Log.set("whileDraining", Json(m_WhileDraining));
    return Log.toText();
  }

  kj::Promise<void> text(Response &To, unsigned Status, std::string Body,
                         bool NotRun = false) {
    kj::HttpHeaders With(table());
    With.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
    if (NotRun)
      With.set(m_Headers.m_Ids.m_NotRun, "true");
    if (m_Draining)
      With.set(m_Headers.m_Ids.m_Draining, "true");
    auto Out = To.send(Status, "OK", With, Body.size());
    return writeAndClose(kj::mv(Out), std::move(Body));
  }

  kj::Timer &m_Timer;
  HeaderTable m_Headers;
  unsigned m_Slots;
  unsigned m_ServiceMs;
  unsigned m_Busy = 0;
  unsigned m_Peak = 0;
  unsigned m_Overloads = 0;
  unsigned m_WhileDraining = 0;
  unsigned m_Lie = 0;
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
