/// \file
/// Fuzzing of everything that is decoded from other processes: rows of the
/// store, heartbeats and rows of peers, HTTP heads, relayed outcomes.
///
/// The first byte of an input selects the decoder. The entry point is that of
/// libFuzzer; fuzz_main.cpp runs it without.
#include "fuzz/decode_fuzz.h"

#include "gateway/relay_protocol.h"
#include "gateway/settings.h"
#include "inner/heartbeat_codec.h"
#include "platform/platform.h"
#include "support/worst_rows.h"

#include <cmath>
#include <cstdlib>

namespace mustardspoke::fuzz {

using namespace steer;

namespace {

/// \brief Ends the process, for the fuzzer to report the input.
void require(bool Holds) {
  if (!Holds)
    std::abort();
}

bool isTime(const std::optional<Duration> &Time) {
  return !Time || (*Time >= Duration::zero() && *Time <= 24h);
}

void upstreamRow(const std::string &Text) {
  static const std::map<FailureDomainName, RegionName> Regions{
      {FailureDomainName("z"), RegionName("r")}};
  UpstreamRow Row = platform::decoder().m_DecodeUpstreamRow(
      {"servers", "i-1", Text, 1, false}, Regions);
  require(Row.m_Facts.has_value() == Row.m_Error.empty());
  if (!Row.m_Facts)
    return;
  require(Row.m_Facts->m_Slots >= 1 && Row.m_Facts->m_Slots <= 1000000);
  require(isTime(Row.m_Facts->m_WarmUpRemaining));
  require(parseEndpoint<Tcp>(Row.m_Facts->m_Address).has_value());
}

void operatorRow(const std::string &Text) {
  OperatorRow Row =
      platform::decoder().m_DecodeOperatorRow({"op", "config", Text, 1, false});
  require((Row.m_Routes != nullptr) == Row.m_Error.empty());
  if (Row.m_Routes)
    for (const auto &[Name, Service] : Row.m_Routes->m_Services)
      require(std::isfinite(Service.m_ColdRequestsPerSecond) &&
              Service.m_ColdRequestsPerSecond >= 0);
}

/// \brief Parses all messages in \p Text, in two pieces.
template <class Visitor>
void parseMessages(HttpParser::Role Role, const std::string &Text,
                   Visitor &&Visit) {
  HttpParser Parser(Role, 16384, 1 << 20);
  std::string Input;
  for (const std::string &Piece :
       {Text.substr(0, Text.size() / 2), Text.substr(Text.size() / 2)}) {
    Input += Piece;
    for (;;) {
      Input.erase(0, Parser.feed(Input));
      if (!Parser.done() || Parser.parseError() != HttpParseError::None)
        break;
      Visit(Parser.head());
      Parser.nextMessage();
      if (Input.empty())
        break;
    }
  }
  bool WasDone = Parser.done();
  bool HadHead = Parser.headDone();
  Parser.endStream();
  // Only a body can be completed by the end of the stream.
  require(WasDone || HadHead || !Parser.done());
}

void response(const std::string &Text) {
  parseMessages(HttpParser::Role::Responses, Text, [](const HttpHead &Head) {
    ResponseMetadata Metadata =
        platform::wireFormat().m_ReadResponseMetadata(Head);
    require(isTime(Metadata.m_QuietTime));
    require(isTime(Metadata.m_WarmUpRemaining));
    require(isTime(Metadata.m_KeepAliveTimeout));
    require(!Metadata.m_RateLimit || (std::isfinite(*Metadata.m_RateLimit) &&
                                      *Metadata.m_RateLimit >= 0));
    (void)readRelayOutcome(Head);
  });
}

void request(const std::string &Text) {
  parseMessages(HttpParser::Role::Requests, Text, [](const HttpHead &Head) {
    RequestMetadata Metadata =
        platform::wireFormat().m_ReadRequestMetadata(Head);
    require(isTime(Metadata.m_CallerTimeout));
    (void)readRelayFields(Head);
    (void)platform::wireFormat().m_ReadLookupQuery(Head.m_Target);
    (void)hostWithoutPort(Head);
  });
}

void heartbeat(const std::string &Bytes) {
  std::optional<Heartbeat> Message = decodeHeartbeat(Bytes);
  if (!Message)
    return;
  require(std::isfinite(Message->m_Sender.m_Capacity));
  for (const ServiceShare &Share : Message->m_ServiceShares)
    require(std::isfinite(Share.m_LocalShare) &&
            std::isfinite(Share.m_Utilization));
  for (const PeerLimit &Limit : Message->m_Limits)
    require(!Limit.m_Rate || std::isfinite(*Limit.m_Rate));
}

void relayedRows(const std::string &Bytes) {
  (void)decodeRows(Bytes);
  (void)decodeRowsRequest(Bytes);
}

void settings(const std::string &Text) {
  ValidationErrors Problems;
  (void)readGatewaySettings(Text, Problems);
}

} // namespace

const std::vector<Decoder> &decoders() {
  static const std::vector<Decoder> All{
      {'u', upstreamRow}, {'o', operatorRow}, {'a', response}, {'q', request},
      {'b', heartbeat},   {'w', relayedRows}, {'s', settings}};
  return All;
}

std::vector<std::string> encodedSamples() {
  Heartbeat Beat;
  Beat.m_Sender.m_Vm = VmName("a");
  Beat.m_ServiceShares = {{1, 0.5, 0.25}};
  Beat.m_Limits = {{8, 2.5, 1200ms}};
  Beat.m_Crashes = {{1, {{5, 7ms}}, 4ms, 3s, 2, 9h}};
  Beat.m_KnownPeerAddresses = {"10.0.0.1:80"};
  Beat.m_UpstreamLoads = {{99, 2.5}};
  RelayedRows Rows;
  Rows.m_Rows = {{{"t", "k", "value", 7, false}, true}};
  Rows.m_SyncedVersions = {1, 2, 3};
  return {"b" + encodeHeartbeat(Beat), "w" + encodeRows(Rows),
          "w" + encodeRowsRequest(Rows.m_SyncedVersions)};
}

std::vector<std::string> expensiveInputs() {
  std::vector<std::string> Result;
  for (const std::string &Row : test::worstRows())
    for (char Selector : {'u', 'o', 's'})
      Result.push_back(Selector + Row);
  return Result;
}

} // namespace mustardspoke::fuzz

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return 0;
  std::string Text(reinterpret_cast<const char *>(Data) + 1, Size - 1);
  for (const mustardspoke::fuzz::Decoder &Entry :
       mustardspoke::fuzz::decoders())
    if (Entry.m_Selector == char(Data[0]))
      Entry.m_Decode(Text);
  return 0;
}
