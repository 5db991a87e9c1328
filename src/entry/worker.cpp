/// \file
/// Event loop of a worker.
#include "entry/worker.h"

#include "entry/caller_service.h"
#include "http/http.h"

#include <kj/async-io.h>
#include <kj/debug.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <system_error>

namespace mustardspoke {
namespace {

constexpr int ListenBacklog = 512;
constexpr kj::Duration IdleSweepInterval = 1 * kj::SECONDS;
constexpr kj::Duration HeaderTimeout = 10 * kj::SECONDS;
constexpr kj::Duration KeepAliveTimeout = 30 * kj::SECONDS;

/// Failures of detached calls have already been counted in the metrics.
class IgnoreTaskErrors final : public kj::TaskSet::ErrorHandler {
public:
  void taskFailed(kj::Exception && /*Failure*/) override {}
};

kj::Promise<void> sweepExpired(kj::Timer &Timer, ConnectionPool &Pool) {
  return Timer.afterDelay(IdleSweepInterval).then([&Timer, &Pool] {
    Pool.closeExpired();
    return sweepExpired(Timer, Pool);
  });
}

[[noreturn]] void throwListenError(const std::string &Address) {
  throw std::system_error(errno, std::generic_category(),
                          "can't listen on " + Address);
}

} // namespace

int listenOn(const std::string &Address) {
  std::string Ip;
  unsigned short Port = 0;
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  if (!splitAddress(Address, Ip, Port) ||
      inet_pton(AF_INET, Ip.c_str(), &SocketAddress.sin_addr) != 1) {
    errno = EINVAL;
    throwListenError(Address);
  }
  SocketAddress.sin_port = htons(Port);
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (Fd < 0)
    throwListenError(Address);
  // SO_REUSEADDR allows a restart while old connections are in TIME_WAIT;
  // bind() still fails if another process is listening.
  int Enable = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
  if (bind(Fd, reinterpret_cast<sockaddr *>(&SocketAddress),
           sizeof(SocketAddress)) != 0 ||
      listen(Fd, ListenBacklog) != 0) {
    int SavedErrno = errno;
    close(Fd);
    errno = SavedErrno;
    throwListenError(Address);
  }
  return Fd;
}

Worker::Worker(SharedNode &Core, int ListenFd) : m_Core(Core) {
  auto Started = m_Started.get_future();
  m_Thread = std::thread([this, ListenFd] { run(ListenFd); });
  m_Drain = Started.get();
}

Worker::~Worker() { join(); }

void Worker::drain() { m_Drain->fulfill(); }

void Worker::join() {
  if (m_Thread.joinable())
    m_Thread.join();
}

void Worker::run(int ListenFd) {
  auto Io = kj::setupAsyncIo();
  kj::Timer &Timer = Io.provider->getTimer();
  HeaderTable Table;
  IgnoreTaskErrors ErrorHandler;
  kj::TaskSet Detached(ErrorHandler);
  ConnectionPool Pool(Io.provider->getNetwork(), Timer, *Table.m_Table);
  WorkerContext Context{m_Core, Timer, Table, Pool, Detached};
  CallerService Service(Context);
  kj::HttpServerSettings ServerSettings;
  ServerSettings.headerTimeout = HeaderTimeout;
  ServerSettings.pipelineTimeout = KeepAliveTimeout;
  kj::HttpServer Server(Timer, *Table.m_Table, Service, ServerSettings);

  int OwnFd = dup(ListenFd);
  auto Listener = Io.lowLevelProvider->wrapListenSocketFd(
      OwnFd, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
                 kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                 kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  auto AcceptLoop = kj::heap(
      Server.listenHttp(*Listener).eagerlyEvaluate([](kj::Exception &&Failure) {
        logEvent(LogLevel::Error, "accept-failed",
                 {{"cause", Failure.getDescription().cStr()}});
      }));
  auto Sweeper = sweepExpired(Timer, Pool).eagerlyEvaluate(nullptr);
  auto Drain = kj::newPromiseAndCrossThreadFulfiller<void>();
  m_Started.set_value(kj::mv(Drain.fulfiller));
  Drain.promise.wait(Io.waitScope);

  // Stop accepting first, so that no new connection arrives during the drain.
  AcceptLoop = nullptr;
  Listener = nullptr;
  Server.drain().wait(Io.waitScope);
  Detached.onEmpty().wait(Io.waitScope);
}

} // namespace mustardspoke
