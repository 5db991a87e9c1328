/// \file
/// Fault-injecting TCP proxy.
///
/// Usage: standin-proxy LISTEN TARGET CONTROL
/// POST CONTROL/mode {"mode":M,"ms":N}:
///   pass         forwards data
///   delay        forwards each chunk after N ms
///   freeze       keeps connections open, but forwards nothing
///   cut          closes all connections and refuses new ones
///   lose-answers forwards requests, closes when the answer begins
///   half-close   shuts down the direction to the caller only
///   bad-status   forwards answers with the status 000
///   bad-field    forwards answers with a blank in a field's name
#include "http/http.h"
#include "json/json.h"

#include <kj/async-io.h>
#include <kj/debug.h>
#include <kj/timer.h>

#include <algorithm>
#include <iostream>
#include <mutex>
#include <string>
#include <string_view>

namespace mustardspoke {
namespace {

constexpr std::size_t ChunkBytes = 16 * 1024;
constexpr kj::Duration ModePollInterval = 5 * kj::MILLISECONDS;

struct Mode {
  std::string m_Name = "pass";
  std::int64_t m_Millis = 0;
  unsigned m_Epoch = 0; ///< Incremented by every change.
};

/// \brief Replaces the first \p Old in \p Bytes by \p New, of the same length.
void replaceFirst(kj::ArrayPtr<kj::byte> Bytes, std::string_view Old,
                  std::string_view New) {
  auto Found = std::search(Bytes.begin(), Bytes.end(), Old.begin(), Old.end());
  if (Found != Bytes.end())
    std::copy(New.begin(), New.end(), Found);
}

class ModeControl {
public:
  HttpResponse serve(const HttpRequest &Request) {
    JsonResult Parsed = parseJson(Request.m_Body);
    std::scoped_lock Lock(m_Mutex);
    m_Mode.m_Name = Parsed.m_Value.textOr("mode", "pass");
    m_Mode.m_Millis = Parsed.m_Value.integerOr("ms", 0);
    ++m_Mode.m_Epoch;
    return {200, "text/plain", "ok"};
  }

  Mode mode() {
    std::scoped_lock Lock(m_Mutex);
    return m_Mode;
  }

private:
  std::mutex m_Mutex;
  Mode m_Mode;
};

class Proxy final : private kj::TaskSet::ErrorHandler {
public:
  Proxy(kj::AsyncIoContext &Io, ModeControl &Control,
        kj::NetworkAddress &Target)
      : m_Timer(Io.provider->getTimer()), m_Control(Control), m_Target(Target),
        m_Tasks(*this) {}

  kj::Promise<void> listen(kj::ConnectionReceiver &Port) {
    return Port.accept().then([this, &Port](kj::Own<kj::AsyncIoStream> Client) {
      if (m_Control.mode().m_Name != "cut")
        m_Tasks.add(serve(kj::mv(Client)));
      return listen(Port);
    });
  }

private:
  void taskFailed(kj::Exception && /*Closed*/) override {}

  kj::Promise<void> serve(kj::Own<kj::AsyncIoStream> Client) {
    return m_Target.connect().then(
        [this,
         Client = kj::mv(Client)](kj::Own<kj::AsyncIoStream> Server) mutable {
          auto Forwarding = pump(*Client, *Server, false)
                                .exclusiveJoin(pump(*Server, *Client, true));
          return Forwarding.exclusiveJoin(waitForCut())
              .attach(kj::mv(Client), kj::mv(Server));
        });
  }

  kj::Promise<void> waitForCut() {
    if (m_Control.mode().m_Name == "cut")
      return kj::READY_NOW;
    return m_Timer.afterDelay(ModePollInterval).then([this] {
      return waitForCut();
    });
  }

  kj::Promise<void> pump(kj::AsyncIoStream &Source,
                         kj::AsyncIoStream &Destination, bool IsAnswer) {
    auto Buffer = kj::heapArray<kj::byte>(ChunkBytes);
    auto Reading = Source.tryRead(Buffer.begin(), 1, Buffer.size());
    return Reading.then(
        [this, &Source, &Destination, IsAnswer, Buffer = kj::mv(Buffer)](
            std::size_t Count) mutable -> kj::Promise<void> {
          if (Count == 0) {
            Destination.shutdownWrite();
            return kj::NEVER_DONE;
          }
          return forward(Destination, kj::mv(Buffer), Count, IsAnswer)
              .then([this, &Source, &Destination, IsAnswer] {
                return pump(Source, Destination, IsAnswer);
              });
        });
  }

  kj::Promise<void> forward(kj::AsyncIoStream &Destination,
                            kj::Array<kj::byte> Bytes, std::size_t Count,
                            bool IsAnswer) {
    Mode Current = m_Control.mode();
    if (Current.m_Name == "freeze")
      return m_Timer.afterDelay(ModePollInterval)
          .then([this, &Destination, Bytes = kj::mv(Bytes), Count,
                 IsAnswer]() mutable {
            return forward(Destination, kj::mv(Bytes), Count, IsAnswer);
          });
    if (Current.m_Name == "lose-answers" && IsAnswer)
      return KJ_EXCEPTION(DISCONNECTED, "answer lost");
    if (Current.m_Name == "half-close" && IsAnswer) {
      Destination.shutdownWrite();
      return kj::NEVER_DONE;
    }
    if (Current.m_Name == "bad-status" && IsAnswer)
      replaceFirst(Bytes.slice(0, Count), "HTTP/1.1 200", "HTTP/1.1 000");
    if (Current.m_Name == "bad-field" && IsAnswer)
      replaceFirst(Bytes.slice(0, Count), "Content-Type:", "Content-Typ :");
    auto Delay = Current.m_Name == "delay" ? Current.m_Millis * kj::MILLISECONDS
                                           : 0 * kj::MILLISECONDS;
    return m_Timer.afterDelay(Delay).then(
        [&Destination, Bytes = kj::mv(Bytes), Count]() mutable {
          auto Writing = Destination.write(Bytes.begin(), Count);
          return Writing.attach(kj::mv(Bytes));
        });
  }

  kj::Timer &m_Timer;
  ModeControl &m_Control;
  kj::NetworkAddress &m_Target;
  kj::TaskSet m_Tasks;
};

} // namespace
} // namespace mustardspoke

int main(int Argc, char **Argv) {
  if (Argc != 4) {
    std::cerr << "usage: standin-proxy LISTEN TARGET CONTROL\n";
    return 2;
  }
  mustardspoke::ModeControl Control;
  mustardspoke::HttpServer Commands(
      Argv[3], 4096, [&](const mustardspoke::HttpRequest &Request) {
        return Control.serve(Request);
      });
  auto Io = kj::setupAsyncIo();
  auto &Network = Io.provider->getNetwork();
  auto Target = Network.parseAddress(Argv[2]).wait(Io.waitScope);
  auto Port = Network.parseAddress(Argv[1]).wait(Io.waitScope)->listen();
  mustardspoke::Proxy Proxy(Io, Control, *Target);
  Proxy.listen(*Port).wait(Io.waitScope);
}
