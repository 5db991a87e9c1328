/// \file
/// Fault-injecting TCP proxy.
///
/// Usage: standin-proxy LISTEN TARGET CONTROL
/// POST CONTROL/mode {"mode":M,"ms":N}:
///   pass         forwards
///   delay        forwards each piece after N ms
///   freeze       keeps connections open and forwards nothing
///   cut          closes all connections and refuses new ones
///   lose-answers forwards requests, closes when the answer begins
///   half-close   ends the direction to the caller, keeps the other open
#include "http/http.h"
#include "json/json.h"

#include <kj/async-io.h>
#include <kj/debug.h>
#include <kj/timer.h>

#include <iostream>
#include <mutex>
#include <string>

namespace mustardspoke {
namespace {

constexpr std::size_t PieceBytes = 16 * 1024;
constexpr kj::Duration FrozenLook = 5 * kj::MILLISECONDS;

struct Mode {
  std::string m_Name = "pass";
  std::int64_t m_Millis = 0;
  unsigned m_Epoch = 0; ///< Rises with every change.
};

class Control {
public:
  HttpResponse serve(const HttpRequest &Query) {
    JsonResult Parsed = parseJson(Query.m_Body);
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
  Proxy(kj::AsyncIoContext &Io, Control &From, kj::NetworkAddress &Target)
      : m_Timer(Io.provider->getTimer()), m_Control(From), m_Target(Target),
        m_Tasks(*this) {}

  kj::Promise<void> listen(kj::ConnectionReceiver &Port) {
    return Port.accept().then([this, &Port](kj::Own<kj::AsyncIoStream> In) {
      if (m_Control.mode().m_Name != "cut")
        m_Tasks.add(serve(kj::mv(In)));
      return listen(Port);
    });
  }

private:
  void taskFailed(kj::Exception && /*Closed*/) override {}

  kj::Promise<void> serve(kj::Own<kj::AsyncIoStream> In) {
    return m_Target.connect().then([this, In = kj::mv(In)](
                                       kj::Own<kj::AsyncIoStream> Out) mutable {
      auto Both = pump(*In, *Out, false).exclusiveJoin(pump(*Out, *In, true));
      return Both.exclusiveJoin(untilCut()).attach(kj::mv(In), kj::mv(Out));
    });
  }

  kj::Promise<void> untilCut() {
    if (m_Control.mode().m_Name == "cut")
      return kj::READY_NOW;
    return m_Timer.afterDelay(FrozenLook).then([this] { return untilCut(); });
  }

  kj::Promise<void> pump(kj::AsyncIoStream &From, kj::AsyncIoStream &To,
                         bool IsAnswer) {
    auto Buffer = kj::heapArray<kj::byte>(PieceBytes);
    auto Reading = From.tryRead(Buffer.begin(), 1, Buffer.size());
    return Reading.then([this, &From, &To, IsAnswer, Buffer = kj::mv(Buffer)](
                            std::size_t Count) mutable -> kj::Promise<void> {
      if (Count == 0) {
        To.shutdownWrite();
        return kj::NEVER_DONE;
      }
      return forward(To, kj::mv(Buffer), Count, IsAnswer)
          .then([this, &From, &To, IsAnswer] {
            return pump(From, To, IsAnswer);
          });
    });
  }

  kj::Promise<void> forward(kj::AsyncIoStream &To, kj::Array<kj::byte> Bytes,
                            std::size_t Count, bool IsAnswer) {
    Mode Now = m_Control.mode();
    if (Now.m_Name == "freeze")
      return m_Timer.afterDelay(FrozenLook)
          .then([this, &To, Bytes = kj::mv(Bytes), Count, IsAnswer]() mutable {
            return forward(To, kj::mv(Bytes), Count, IsAnswer);
          });
    if (Now.m_Name == "lose-answers" && IsAnswer)
      return KJ_EXCEPTION(DISCONNECTED, "answer lost");
    if (Now.m_Name == "half-close" && IsAnswer) {
      To.shutdownWrite();
      return kj::NEVER_DONE;
    }
    auto Delay = Now.m_Name == "delay" ? Now.m_Millis * kj::MILLISECONDS
                                       : 0 * kj::MILLISECONDS;
    return m_Timer.afterDelay(Delay).then(
        [&To, Bytes = kj::mv(Bytes), Count]() mutable {
          auto Writing = To.write(Bytes.begin(), Count);
          return Writing.attach(kj::mv(Bytes));
        });
  }

  kj::Timer &m_Timer;
  Control &m_Control;
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
  mustardspoke::Control From;
  mustardspoke::HttpServer Commands(
      Argv[3], 4096, [&](const mustardspoke::HttpRequest &Query) {
        return From.serve(Query);
      });
  auto Io = kj::setupAsyncIo();
  auto &Network = Io.provider->getNetwork();
  auto Target = Network.parseAddress(Argv[2]).wait(Io.waitScope);
  auto Port = Network.parseAddress(Argv[1]).wait(Io.waitScope)->listen();
  mustardspoke::Proxy Between(Io, From, *Target);
  Between.listen(*Port).wait(Io.waitScope);
}
