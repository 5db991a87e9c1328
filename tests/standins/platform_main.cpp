/// \file
/// Stand-in for the platform: table service, object store and VM list.
///
/// Usage: standin-platform IP:PORT
/// POST /fault {"mode":M,"ms":N} sets how requests are handled:
///   up     normally
///   down   answered with 503, without effect
///   slow   with a delay of N ms
///   lose   writes take effect, but are answered with 503
/// POST /vms {"vms":[..]} replaces the VM list.
#include "http/http.h"
#include "tables/tables.h"

#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace mustardspoke {
namespace {

constexpr std::size_t MaxBodyBytes = 64UL * 1024 * 1024;
constexpr std::string_view ObjectPrefix = "/objects/";

class StandInPlatform {
public:
  HttpResponse serve(const HttpRequest &Request) {
    if (Request.m_Path == "/fault")
      return setFault(Request.m_Body);
    std::string Mode;
    std::int64_t Millis = 0;
    {
      std::scoped_lock Lock(m_Mutex);
      Mode = m_Mode;
      Millis = m_Millis;
    }
    if (Mode == "down")
      return {503, "text/plain", "down"};
    if (Mode == "slow")
      std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
    std::scoped_lock Lock(m_Mutex);
    bool IsWrite =
        Request.m_Path == "/table/commit" || Request.m_Method == "PUT";
    HttpResponse Answer = handle(Request);
    if (Mode == "lose" && IsWrite)
      return {503, "text/plain", "answer lost"};
    return Answer;
  }

private:
  HttpResponse setFault(const std::string &Body) {
    JsonResult Parsed = parseJson(Body);
    std::scoped_lock Lock(m_Mutex);
    m_Mode = Parsed.m_Value.textOr("mode", "up");
    m_Millis = Parsed.m_Value.integerOr("ms", 0);
    return {200, "text/plain", "ok"};
  }

  HttpResponse handle(const HttpRequest &Request) {
    if (Request.m_Path == "/table/scan" || Request.m_Path == "/table/commit")
      return table(Request);
    if (Request.m_Path == "/vms")
      return vms(Request);
    if (std::string_view(Request.m_Path).starts_with(ObjectPrefix))
      return object(Request);
    return {404, "text/plain", "no such path"};
  }

  HttpResponse table(const HttpRequest &Request) {
    JsonResult Parsed = parseJson(Request.m_Body);
    StoreRequest StoreCommand;
    if (Request.m_Path == "/table/scan") {
      StoreCommand.m_Body =
          ScanRequest{std::uint64_t(Parsed.m_Value.integerOr("since", 0))};
      return {200, "application/json",
              scanReplyToJson(m_Table.execute(StoreCommand)).toText()};
    }
    auto Commit = commitFromJson(Parsed.m_Value);
    if (!Commit)
      return {400, "text/plain", "not a commit request"};
    StoreCommand.m_Body = std::move(*Commit);
    StoreReply Reply = m_Table.execute(StoreCommand);
    if (Reply.m_Status == StoreStatus::Conflict)
      return {409, "text/plain", "conflict"};
    return {200, "application/json",
            Json::object().set("revision", Json(Reply.m_Revision)).toText()};
  }

  HttpResponse vms(const HttpRequest &Request) {
    if (Request.m_Method == "POST") {
      JsonResult Parsed = parseJson(Request.m_Body);
      auto List = vmListFromJson(Parsed.m_Value);
      if (!List)
        return {400, "text/plain", "not a VM list"};
      m_Vms = std::move(*List);
    }
    return {200, "application/json", vmListToJson(m_Vms).toText()};
  }

  HttpResponse object(const HttpRequest &Request) {
    std::string Name = Request.m_Path.substr(ObjectPrefix.size());
    if (Request.m_Method == "PUT") {
      m_Objects[Name] = Request.m_Body;
      return {200, "text/plain", "ok"};
    }
    auto Object = m_Objects.find(Name);
    if (Object == m_Objects.end())
      return {404, "text/plain", "no such object"};
    return {200, "application/json", Object->second};
  }

  std::mutex m_Mutex;
  std::string m_Mode = "up";
  std::int64_t m_Millis = 0;
  MemoryTable m_Table;
  std::map<std::string, std::string> m_Objects;
  std::vector<ListedVm> m_Vms;
};

} // namespace
} // namespace mustardspoke

int main(int Argc, char **Argv) {
  if (Argc != 2) {
    std::cerr << "usage: standin-platform IP:PORT\n";
    return 2;
  }
  mustardspoke::StandInPlatform Platform;
  mustardspoke::HttpServer Server(
      Argv[1], mustardspoke::MaxBodyBytes,
      [&](const mustardspoke::HttpRequest &Request) {
        return Platform.serve(Request);
      });
  // Runs until it is killed; tests and the demo do so by process id.
  while (true)
    std::this_thread::sleep_for(std::chrono::hours(1));
}
