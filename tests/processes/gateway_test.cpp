/// \file
/// Starts and ends of gateway processes.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/process.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/wait.h>

using namespace mustardspoke;
using namespace mustardspoke::test;

namespace {

constexpr const char *Ip = "127.0.10.1";
constexpr unsigned short CallerPort = 18190;

/// \brief A gateway process without a store.
class GatewayProcess {
public:
  GatewayProcess() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "gateway-XXXXXX").string();
    m_Directory = mkdtemp(Template.data());
    auto At = [](unsigned Port) {
      return "\"" + std::string(Ip) + ":" + std::to_string(Port) + "\"";
    };
    std::ofstream(m_Directory + "/settings.json")
        << R"({"vm":"v","region":"r","failureDomain":"z",)"
           R"("failureDomains":{"z":"r"},"store":"127.0.10.9:9",)"
           R"("listen":{"ip":")"
        << Ip << R"(","callers":)" << At(CallerPort) << R"(,"ready":)"
        << At(CallerPort + 1) << R"(,"lookups":)" << At(CallerPort + 2)
        << R"(,"peerPorts":["18195","18196"]},"seeds":[],)"
           R"("limits":{"stopGrace":"3s"}})";
    m_Process = std::make_unique<Process>(
        std::vector<std::string>{MUSTARDSPOKE_BUILD "/mustardspoke", "gateway",
                                 m_Directory + "/settings.json"},
        m_Directory + "/log");
  }
  ~GatewayProcess() { std::filesystem::remove_all(m_Directory); }
  GatewayProcess(const GatewayProcess &) = delete;
  GatewayProcess &operator=(const GatewayProcess &) = delete;

  [[nodiscard]] bool hasLogged(const std::string &Part) const {
    std::ifstream In(m_Directory + "/log");
    std::string Text((std::istreambuf_iterator<char>(In)), {});
    return Text.find(Part) != std::string::npos;
  }
  [[nodiscard]] bool waitUntilLogged(const std::string &Part) const {
    return eventually([&] { return hasLogged(Part); });
  }
  Process &process() { return *m_Process; }

private:
  std::string m_Directory;
  std::unique_ptr<Process> m_Process;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Gateway)

// Guards against an end that nobody can explain.
BOOST_AUTO_TEST_CASE(FatalSignalLeavesALine) {
  for (auto [Number, Name] :
       {std::pair(SIGSEGV, "SIGSEGV"), std::pair(SIGABRT, "SIGABRT")}) {
    GatewayProcess Started;
    BOOST_REQUIRE(Started.waitUntilLogged("\"started\""));
    Started.process().signal(Number);
    auto Status = Started.process().waitForExit(5s);
    BOOST_TEST((Status && WIFSIGNALED(*Status) && WTERMSIG(*Status) == Number));
    BOOST_TEST(Started.hasLogged(
        std::string(R"("vm":"v","event":"ended-by-signal","signal":")") +
        Name));
  }
}

BOOST_AUTO_TEST_SUITE_END()
