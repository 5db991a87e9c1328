/// \file
/// Command line interface.
#include "cli/caller.h"
#include "config/config.h"
#include "entry/entry.h"
#include "gateway/http_message.h"
#include "http/http.h"
#include "observe/log.h"
#include "platform/platform.h"

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>

namespace mustardspoke {
namespace {

constexpr const char *Usage =
    R"(mustardspoke: global traffic steering.

Usage:
  mustardspoke entry SETTINGS [--check]
  mustardspoke gateway SETTINGS [--check]
  mustardspoke keys [--seed=TEXT]
  mustardspoke bundle sign-off TEAM REVISION SECTION --key=FILE
  mustardspoke bundle check --root-key=HEX FILE...
  mustardspoke bundle accept --entry=ADDR --token=TEXT FILE...
  mustardspoke bundle show --entry=ADDR --token=TEXT
  mustardspoke status --entry=ADDR --token=TEXT
  mustardspoke explain --entry=ADDR --token=TEXT [ID]
  mustardspoke explain ADDRESS --host=NAME --path=PATH [--key=TEXT]
               [--customer=NAME]
  mustardspoke call SERVICE --entry=ADDR [--path=PATH] [--body=FILE]
               [--tenant=NAME] [--deadline-ms=N]
  mustardspoke (-h | --help)
  mustardspoke --version

Commands:
  entry            Runs an entry VM; --check only validates its settings.
  gateway          Runs an entry VM on a prepared platform, which provides a
                   table of routes, and where upstreams register themselves;
                   --check only validates its settings.
  keys             Prints a new key pair for signing sections.
  bundle sign-off  Prints SECTION as a section signed by TEAM.
  bundle check     Validates signed sections as one complete bundle.
  bundle accept    Submits signed sections; other teams' sections stay.
  bundle show      Prints the current bundle document.
  status           Prints an entry VM's view of the fleet.
  explain          Prints traces of recent calls, or of call ID. With ADDRESS,
                   the metrics address of a running gateway: prints where it
                   would send a request now, and why; nothing is sent.
  call             Looks up entry VMs and makes a call through them.

Options:
  --entry=ADDR     IP:port; the operators' port, for `call` the callers' port.
  --token=TEXT     The operator token from the entry VM's settings.
  --key=FILE       File with the team's secret key, as `keys` prints it; for
                   `explain` the affinity key of the request.
  --root-key=HEX   Public key of the root section.
  --seed=TEXT      Derives the key pair from TEXT; for demos and tests only.
  --path=PATH      Path at the upstream, for `explain` that of the request
                   [default: /].
  --host=NAME      Host of the request.
  --customer=NAME  Customer on whose behalf the request is sent.
  --body=FILE      Sends the contents of FILE in a POST.

Exit status: 0 success; 1 refused, not run or not found; 2 invalid usage or
input; 3 unknown outcome, or calls in flight were aborted.
)";

constexpr int ExitRefused = 1;
constexpr int ExitUsage = 2;
constexpr int ExitUnknown = 3;
constexpr std::size_t OperatorTimeoutMs = 30000;

using Arguments = std::map<std::string, docopt::value>;

std::string argument(const Arguments &Args, const char *Name) {
  const docopt::value &Value = Args.at(Name);
  return Value ? Value.asString() : std::string();
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In) {
    std::cerr << Path << ": can't read the file\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(In), {});
}

/// \brief Prints the errors found in settings; if there are none and the
/// command line has --check, prints that.
///
/// \returns The exit status if the command is finished.
std::optional<int> reportSettingsCheck(const Arguments &Args,
                                       const std::string &Path,
                                       const ValidationErrors &Found) {
  if (!Found.empty()) {
    std::cerr << Path << " has faults:\n" << formatErrors(Found);
    return ExitUsage;
  }
  if (!Args.at("--check").asBool())
    return std::nullopt;
  std::cout << Path << ": no faults\n";
  return 0;
}

int runEntryCommand(const Arguments &Args) {
  std::string Path = argument(Args, "SETTINGS");
  auto Text = readFile(Path);
  if (!Text)
    return ExitUsage;
  ValidationErrors Found;
  Settings Config = readSettings(*Text, Found);
  if (auto Exit = reportSettingsCheck(Args, Path, Found))
    return *Exit;
  return runEntry(Config);
}

int runGatewayCommand(const Arguments &Args) {
  std::string Path = argument(Args, "SETTINGS");
  auto Text = readFile(Path);
  if (!Text)
    return ExitUsage;
  ValidationErrors Found;
  steer::GatewayAdapter Adapter = steer::platform::adapter();
  steer::GatewaySettings Config = steer::readGatewaySettings(*Text, Found);
  if (auto Exit = reportSettingsCheck(Args, Path, Found))
    return *Exit;
  startLog(Config.m_Vm.str(), "info");
  return steer::runGateway(Path, Config, Adapter);
}

int printKeys(const Arguments &Args) {
  std::string Seed = argument(Args, "--seed");
  KeyPair Pair = Seed.empty() ? generateKeyPair() : keyPairFromSeed(Seed);
  Json Output = Json::object();
  Output.set("public", Json(Pair.m_Public));
  Output.set("secret", Json(Pair.m_Secret));
  std::cout << Output.toText(true) << "\n";
  return 0;
}

int signSection(const Arguments &Args) {
  auto Text = readFile(argument(Args, "SECTION"));
  auto Key = readFile(argument(Args, "--key"));
  if (!Text || !Key)
    return ExitUsage;
  JsonResult Parsed = parseJson(*Text);
  if (!Parsed) {
    std::cerr << argument(Args, "SECTION") << ": " << Parsed.m_Error << "\n";
    return ExitUsage;
  }
  BundleDocument Document;
  Section Signed;
  Signed.m_Team = TeamName(argument(Args, "TEAM"));
  std::istringstream Revision(argument(Args, "REVISION"));
  if (!(Revision >> Signed.m_Revision) || Signed.m_Revision == 0) {
    std::cerr << "REVISION: found " << argument(Args, "REVISION")
              << ", allowed: a whole number from 1\n";
    return ExitUsage;
  }
  Signed.m_Text = *Text;
  JsonResult Pair = parseJson(*Key);
  auto Signature = sign(Signed.signedText(), Pair.m_Value.textOr("secret", ""));
  if (!Signature) {
    std::cerr << argument(Args, "--key")
              << ": not a key pair in the format that `keys` prints\n";
    return ExitUsage;
  }
  Signed.m_Signature = *Signature;
  Document.m_Sections.push_back(std::move(Signed));
  std::cout << Document.toText() << "\n";
  return 0;
}

/// Reads signed sections from files into one document.
std::optional<BundleDocument> readSections(const Arguments &Args) {
  BundleDocument Document;
  for (const std::string &Path : Args.at("FILE").asStringList()) {
    auto Text = readFile(Path);
    if (!Text)
      return std::nullopt;
    ValidationErrors Found;
    BundleDocument Part = parseDocument(*Text, Found);
    if (!Found.empty()) {
      std::cerr << Path << " has faults:\n" << formatErrors(Found);
      return std::nullopt;
    }
    for (Section &S : Part.m_Sections)
      Document.m_Sections.push_back(std::move(S));
  }
  return Document;
}

int checkBundleFiles(const Arguments &Args) {
  auto Document = readSections(Args);
  if (!Document)
    return ExitUsage;
  ValidationErrors Found;
  (void)readBundle(*Document, argument(Args, "--root-key"), Found);
  if (!Found.empty()) {
    std::cerr << "the bundle has faults:\n" << formatErrors(Found);
    return ExitRefused;
  }
  std::cout << "no faults\n";
  return 0;
}

int sendToOperatorPort(const Arguments &Args, HttpRequest Request) {
  Request.m_Authorization = "Bearer " + argument(Args, "--token");
  HttpExchange Exchange =
      httpExchange(argument(Args, "--entry"), Request, OperatorTimeoutMs);
  if (Exchange.m_Progress != HttpProgress::Answered) {
    std::cerr << argument(Args, "--entry") << ": " << Exchange.m_Error << "\n";
    return Exchange.m_Progress == HttpProgress::NotSent ? ExitRefused
                                                        : ExitUnknown;
  }
  bool Ok = Exchange.m_Response.m_Status == 200;
  (Ok ? std::cout : std::cerr) << Exchange.m_Response.m_Body << "\n";
  if (Ok)
    return 0;
  JsonResult Parsed = parseJson(Exchange.m_Response.m_Body);
  return Parsed.m_Value.textOr("outcome", "unknown") == "not-run" ? ExitRefused
                                                                  : ExitUnknown;
}

/// \brief Asks a gateway where it would send a request.
int explainRequest(const Arguments &Args) {
  std::string Address = argument(Args, "ADDRESS");
  HttpRequest Request{"GET", "/explain"};
  for (const char *Name : {"host", "path", "key", "customer"}) {
    std::string Value = argument(Args, ("--" + std::string(Name)).c_str());
    Request.m_QueryString += (Request.m_QueryString.empty() ? "" : "&") +
                             std::string(Name) + "=" +
                             steer::encodeQueryValue(Value);
  }
  HttpExchange Exchange = httpExchange(Address, Request, OperatorTimeoutMs);
  if (Exchange.m_Progress != HttpProgress::Answered) {
    std::cerr << Address << ": " << Exchange.m_Error << "\n";
    return ExitRefused;
  }
  bool Ok = Exchange.m_Response.m_Status == 200;
  (Ok ? std::cout : std::cerr) << Exchange.m_Response.m_Body;
  return Ok ? 0 : ExitRefused;
}

int acceptBundle(const Arguments &Args) {
  auto Document = readSections(Args);
  if (!Document)
    return ExitUsage;
  HttpRequest Request{"POST", "/bundle"};
  Request.m_Body = Document->toText();
  return sendToOperatorPort(Args, std::move(Request));
}

int callCommand(const Arguments &Args) {
  CallerRequest Request;
  Request.m_EntryAddresses.push_back(argument(Args, "--entry"));
  Request.m_Service = argument(Args, "SERVICE");
  Request.m_Path = argument(Args, "--path");
  Request.m_Tenant = argument(Args, "--tenant");
  if (Args.at("--deadline-ms"))
    Request.m_DeadlineMs = std::uint64_t(Args.at("--deadline-ms").asLong());
  if (Args.at("--body")) {
    auto Text = readFile(argument(Args, "--body"));
    if (!Text)
      return ExitUsage;
    Request.m_Body = *Text;
  }
  CallerResult Result = lookUpAndCall(Request);
  Json Output = Json::object();
  Output.set("status", Json(Result.m_Status));
  Output.set("outcome", Json(Result.m_Outcome));
  Output.set("error", Json(Result.m_Error));
  Output.set("entry", Json(Result.m_EntryAddress));
  Output.set("bytes", Json(Result.m_BodyBytes));
  Output.set("whole", Json(Result.m_IsComplete));
  Output.set("ticket", Json(Result.m_Ticket));
  Output.set("text", Json(Result.m_BodyStart));
  std::cout << Output.toText(true) << "\n";
  if (Result.m_Outcome == "done" && Result.m_IsComplete)
    return 0;
  return Result.m_Outcome == "not-run" ? ExitRefused : ExitUnknown;
}

int dispatch(const Arguments &Args) {
  auto Has = [&](const char *Name) { return Args.at(Name).asBool(); };
  if (Has("entry"))
    return runEntryCommand(Args);
  if (Has("gateway"))
    return runGatewayCommand(Args);
  if (Has("keys"))
    return printKeys(Args);
  if (Has("sign-off"))
    return signSection(Args);
  if (Has("check"))
    return checkBundleFiles(Args);
  if (Has("accept"))
    return acceptBundle(Args);
  if (Has("show"))
    return sendToOperatorPort(Args, {"GET", "/bundle"});
  if (Has("status"))
    return sendToOperatorPort(Args, {"GET", "/status"});
  if (Has("explain") && Args.at("ADDRESS"))
    return explainRequest(Args);
  if (Has("explain")) {
    HttpRequest Request{"GET", "/explain"};
    if (Args.at("ID"))
      Request.m_QueryString = "id=" + argument(Args, "ID");
    return sendToOperatorPort(Args, std::move(Request));
  }
  return callCommand(Args);
}

} // namespace
} // namespace mustardspoke

int main(int Argc, char **Argv) {
  std::vector<std::string> Words(Argv + 1, Argv + Argc);
  try {
    auto Args = docopt::docopt_parse(mustardspoke::Usage, Words, true, true);
    return mustardspoke::dispatch(Args);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << mustardspoke::Usage;
    return 0;
  } catch (const docopt::DocoptExitVersion &) {
    std::cout << "mustardspoke " MUSTARDSPOKE_VERSION "\n";
    return 0;
  } catch (const docopt::DocoptLanguageError &Error) {
    std::cerr << Error.what() << "\n";
    return mustardspoke::ExitUsage;
  } catch (const docopt::DocoptArgumentError &Error) {
    std::cerr << Error.what() << "\n\n" << mustardspoke::Usage;
    return mustardspoke::ExitUsage;
  } catch (const std::exception &Error) {
    std::cerr << "mustardspoke: " << Error.what() << "\n";
    return mustardspoke::ExitRefused;
  }
}
