/// \file
/// The command line.
#include "cli/caller.h"
#include "config/config.h"
#include "entry/entry.h"
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
  mustardspoke call SERVICE --entry=ADDR [--path=PATH] [--body=FILE]
               [--tenant=NAME] [--deadline-ms=N]
  mustardspoke (-h | --help)
  mustardspoke --version

Commands:
  entry            Runs an entry VM; --check only checks its settings.
  gateway          Runs an entry VM on a prepared platform, whose operators'
                   table holds routes and whose upstreams register themselves;
                   --check only checks its settings.
  keys             Prints a new key pair for sign-offs.
  bundle sign-off  Prints SECTION as a section signed by TEAM.
  bundle check     Checks signed sections as one whole bundle.
  bundle accept    Accepts signed sections; other teams' sections stay.
  bundle show      Prints the document in force.
  status           Prints what an entry VM knows of the fleet.
  explain          Prints how recent calls, or call ID, were decided.
  call             Makes a call as a caller would: look-up, then the call.

Options:
  --entry=ADDR     IP:port; the operators' port, but the callers' for `call`.
  --token=TEXT     The operator token of the entry VM's settings.
  --key=FILE       File with the team's secret key, as `keys` prints it.
  --root-key=HEX   Public key of the root section.
  --seed=TEXT      Derives the pair from TEXT; for demos and tests only.
  --path=PATH      Path at the upstream [default: /].
  --body=FILE      Sends FILE in a POST.

Exit status: 0 done; 1 refused, not run or not found; 2 wrong usage or input;
3 outcome unknown, or calls were cut off.
)";

constexpr int ExitRefused = 1;
constexpr int ExitUsage = 2;
constexpr int ExitUnknown = 3;
constexpr std::size_t OperatorTimeoutMs = 30000;

using Arguments = std::map<std::string, docopt::value>;

std::string option(const Arguments &Given, const char *Name) {
  const docopt::value &Value = Given.at(Name);
  return Value ? Value.asString() : std::string();
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In) {
    std::cerr << Path << ": can't be read\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(In), {});
}

/// \brief Prints the faults of settings, or that there are none if the command
/// line asks only for a check.
/// \returns The exit status, if the command ends with this.
std::optional<int> settingsVerdict(const Arguments &Given,
                                   const std::string &Path,
                                   const ValidationErrors &Found) {
  if (!Found.empty()) {
    std::cerr << Path << " has faults:\n" << formatErrors(Found);
    return ExitUsage;
  }
  if (!Given.at("--check").asBool())
    return std::nullopt;
  std::cout << Path << ": no faults\n";
  return 0;
}

int runEntryCommand(const Arguments &Given) {
  std::string Path = option(Given, "SETTINGS");
  auto Text = readFile(Path);
  if (!Text)
    return ExitUsage;
  ValidationErrors Found;
  Settings From = readSettings(*Text, Found);
  if (auto Exit = settingsVerdict(Given, Path, Found))
    return *Exit;
  return runEntry(From);
}

int runGatewayCommand(const Arguments &Given) {
  std::string Path = option(Given, "SETTINGS");
  auto Text = readFile(Path);
  if (!Text)
    return ExitUsage;
  ValidationErrors Found;
  steer::GatewayAdapter Adapter = steer::platform::adapter();
  steer::GatewaySettings From = steer::readGatewaySettings(*Text, Found);
  if (auto Exit = settingsVerdict(Given, Path, Found))
    return *Exit;
  startLog(From.m_Vm.str(), "info");
  return steer::runGateway(Path, From, Adapter);
}

int printKeys(const Arguments &Given) {
  std::string Seed = option(Given, "--seed");
  KeyPair Pair = Seed.empty() ? generateKeyPair() : keyPairFromSeed(Seed);
  Json To = Json::object();
  To.set("public", Json(Pair.m_Public));
  To.set("secret", Json(Pair.m_Secret));
  std::cout << To.toText(true) << "\n";
  return 0;
}

int signOff(const Arguments &Given) {
  auto Text = readFile(option(Given, "SECTION"));
  auto Key = readFile(option(Given, "--key"));
  if (!Text || !Key)
    return ExitUsage;
  JsonResult Parsed = parseJson(*Text);
  if (!Parsed) {
    std::cerr << option(Given, "SECTION") << ": " << Parsed.m_Error << "\n";
    return ExitUsage;
  }
  BundleDocument Document;
  Section One;
  One.m_Team = TeamName(option(Given, "TEAM"));
  std::istringstream Revision(option(Given, "REVISION"));
  if (!(Revision >> One.m_Revision) || One.m_Revision == 0) {
    std::cerr << "REVISION: found " << option(Given, "REVISION")
              << ", allowed: a whole number from 1\n";
    return ExitUsage;
  }
  One.m_Text = *Text;
  JsonResult Pair = parseJson(*Key);
  auto Signature = sign(One.signedText(), Pair.m_Value.textOr("secret", ""));
  if (!Signature) {
    std::cerr << option(Given, "--key")
              << ": no key pair as `keys` prints it\n";
    return ExitUsage;
  }
  One.m_Signature = *Signature;
  Document.m_Sections.push_back(std::move(One));
  std::cout << Document.toText() << "\n";
  return 0;
}

/// Reads signed sections from several files into one document.
std::optional<BundleDocument> readSections(const Arguments &Given) {
  BundleDocument Whole;
  for (const std::string &Path : Given.at("FILE").asStringList()) {
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
      Whole.m_Sections.push_back(std::move(S));
  }
  return Whole;
}

int checkBundleFiles(const Arguments &Given) {
  auto Whole = readSections(Given);
  if (!Whole)
    return ExitUsage;
  ValidationErrors Found;
  (void)readBundle(*Whole, option(Given, "--root-key"), Found);
  if (!Found.empty()) {
    std::cerr << "the bundle has faults:\n" << formatErrors(Found);
    return ExitRefused;
  }
  std::cout << "no faults\n";
  return 0;
}

int askOperatorPort(const Arguments &Given, HttpQuery Query) {
  Query.m_Authorization = "Bearer " + option(Given, "--token");
  HttpExchange Exchange =
      httpExchange(option(Given, "--entry"), Query, OperatorTimeoutMs);
  if (Exchange.m_Progress != HttpProgress::Answered) {
    std::cerr << option(Given, "--entry") << ": " << Exchange.m_Error << "\n";
    return Exchange.m_Progress == HttpProgress::NotSent ? ExitRefused
                                                        : ExitUnknown;
  }
  bool Ok = Exchange.m_Answer.m_Status == 200;
  (Ok ? std::cout : std::cerr) << Exchange.m_Answer.m_Body << "\n";
  if (Ok)
    return 0;
  JsonResult Parsed = parseJson(Exchange.m_Answer.m_Body);
  return Parsed.m_Value.textOr("outcome", "unknown") == "not-run" ? ExitRefused
                                                                  : ExitUnknown;
}

int acceptBundle(const Arguments &Given) {
  auto Whole = readSections(Given);
  if (!Whole)
    return ExitUsage;
  HttpQuery Query{"POST", "/bundle"};
  Query.m_Body = Whole->toText();
  return askOperatorPort(Given, std::move(Query));
}

int callCommand(const Arguments &Given) {
  CallerRequest Request;
  Request.m_Entries.push_back(option(Given, "--entry"));
  Request.m_Service = option(Given, "SERVICE");
  Request.m_Path = option(Given, "--path");
  Request.m_Tenant = option(Given, "--tenant");
  if (Given.at("--deadline-ms"))
    Request.m_DeadlineMs = std::uint64_t(Given.at("--deadline-ms").asLong());
  if (Given.at("--body")) {
    auto Text = readFile(option(Given, "--body"));
    if (!Text)
      return ExitUsage;
    Request.m_Body = *Text;
  }
  CallerResult Result = callThrough(Request);
  Json To = Json::object();
  To.set("status", Json(Result.m_Status));
  To.set("outcome", Json(Result.m_Outcome));
  To.set("error", Json(Result.m_Error));
  To.set("entry", Json(Result.m_EntryAddress));
  To.set("bytes", Json(Result.m_Bytes));
  To.set("whole", Json(Result.m_Whole));
  To.set("ticket", Json(Result.m_Ticket));
  To.set("text", Json(Result.m_Text));
  std::cout << To.toText(true) << "\n";
  if (Result.m_Outcome == "done" && Result.m_Whole)
    return 0;
  return Result.m_Outcome == "not-run" ? ExitRefused : ExitUnknown;
}

int dispatch(const Arguments &Given) {
  auto Has = [&](const char *Name) { return Given.at(Name).asBool(); };
  if (Has("entry"))
    return runEntryCommand(Given);
  if (Has("gateway"))
    return runGatewayCommand(Given);
  if (Has("keys"))
    return printKeys(Given);
  if (Has("sign-off"))
    return signOff(Given);
  if (Has("check"))
    return checkBundleFiles(Given);
  if (Has("accept"))
    return acceptBundle(Given);
  if (Has("show"))
    return askOperatorPort(Given, {"GET", "/bundle"});
  if (Has("status"))
    return askOperatorPort(Given, {"GET", "/status"});
  if (Has("explain")) {
    HttpQuery Query{"GET", "/explain"};
    if (Given.at("ID"))
      Query.m_Parameters = "id=" + option(Given, "ID");
    return askOperatorPort(Given, std::move(Query));
  }
  return callCommand(Given);
}

} // namespace
} // namespace mustardspoke

int main(int Argc, char **Argv) {
  std::vector<std::string> Words(Argv + 1, Argv + Argc);
  try {
    auto Given = docopt::docopt_parse(mustardspoke::Usage, Words, true, true);
    return mustardspoke::dispatch(Given);
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
