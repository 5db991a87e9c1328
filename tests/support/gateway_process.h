/// \file
/// One gateway process on loopback.
#pragma once

#include "support/process.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>

namespace mustardspoke::test {

/// \brief A gateway process with its settings and its log in a directory of its
/// own.
class GatewayProcess {
public:
  static constexpr const char *Ip = "127.0.10.1";
  static constexpr unsigned short CallerPort = 18190;
  static constexpr unsigned short PeerPort = 18195;
  /// Of the store; it isn't started here.
  static constexpr const char *StoreAddress = "127.0.10.9:18199";

  GatewayProcess() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "gateway-XXXXXX").string();
    m_Directory = mkdtemp(Template.data());
    auto At = [](unsigned Port) {
      return "\"" + std::string(Ip) + ":" + std::to_string(Port) + "\"";
    };
    std::ofstream(m_Directory + "/settings.json")
        << R"({"vm":"v","region":"r","failureDomain":"z",)"
           R"("failureDomains":{"z":"r","y":"q"},"store":")"
        << StoreAddress << R"(","listen":{"ip":")" << Ip << R"(","callers":)"
        << At(CallerPort) << R"(,"ready":)" << At(CallerPort + 1)
        << R"(,"lookups":)" << At(CallerPort + 2) << R"(,"peerPorts":[")"
        << PeerPort << R"(","18196"]},"seeds":[],)"
        << R"("limits":{"stopGrace":"3s"}})";
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

} // namespace mustardspoke::test
