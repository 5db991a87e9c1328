/// \file
/// Cap'n Proto encoding of the messages between entry VMs of the gateway.
#include "inner/heartbeat_codec.h"

#include "inner/heartbeat.capnp.h"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include <algorithm>
#include <cmath>

namespace mustardspoke::steer {
namespace {

/// Limit on the words read from one message; a message that exceeds it is
/// malformed.
constexpr std::uint64_t MaxTraversedWords = 4ULL << 20;

constexpr double LoadUnitsPerRequest = 10; ///< Loads are encoded in tenths.
constexpr unsigned LoadBits = 8;           ///< Of a word of compactLoads.
constexpr std::uint32_t MaxLoadUnits = (1U << LoadBits) - 1;
constexpr std::int64_t MaxMillis = 0xffffffff; ///< Of an encoded age.
/// Value of contactAgeMillis.
constexpr std::uint32_t NoContact = 0xffffffff;
constexpr double MaxCapacity = 1e6;     ///< Of a VM.
constexpr double MaxUtilization = 1e6;  ///< Of a region's slots.
constexpr double MaxCustomerRate = 1e9; ///< Requests per second.
constexpr unsigned MaxCustomerVms = 0xffff;
constexpr Duration AgeUnit = 100ms; ///< Ages are rounded up to this.

std::string toString(capnp::Text::Reader Text) {
  return {Text.begin(), Text.size()};
}

std::string serializePacked(capnp::MessageBuilder &Message) {
  kj::VectorOutputStream Out;
  capnp::writePackedMessage(Out, Message);
  auto Bytes = Out.getArray();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

kj::ArrayPtr<const kj::byte> toBytes(std::string_view Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

capnp::ReaderOptions readerLimits() {
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = MaxTraversedWords;
  return Options;
}

std::vector<std::uint64_t>
decodeNumbers(capnp::List<std::uint64_t>::Reader List) {
  std::vector<std::uint64_t> Numbers;
  for (std::uint64_t Number : List)
    Numbers.push_back(Number);
  return Numbers;
}

void encodeNumbers(capnp::List<std::uint64_t>::Builder List,
                   std::span<const std::uint64_t> Numbers) {
  for (unsigned I = 0; I < List.size(); ++I)
    List.set(I, Numbers[I]);
}

constexpr unsigned AgeBits = 32 - PeerAge::HashBits - PeerAge::IncarnationBits;

std::uint32_t encodePeerAge(const PeerAge &Peer) {
  std::int64_t MaxUnits = (1 << AgeBits) - 1;
  std::int64_t Units = (Peer.m_Age + AgeUnit - 1us) / AgeUnit;
  return (Peer.m_VmHash << (PeerAge::IncarnationBits + AgeBits)) |
         (Peer.m_IncarnationLow << AgeBits) |
         std::uint32_t(std::min(Units, MaxUnits));
}

PeerAge decodePeerAge(std::uint32_t Word) {
  PeerAge Peer;
  Peer.m_VmHash = Word >> (PeerAge::IncarnationBits + AgeBits);
  Peer.m_IncarnationLow =
      (Word >> AgeBits) & ((1U << PeerAge::IncarnationBits) - 1);
  Peer.m_Age = std::int64_t(Word & ((1U << AgeBits) - 1)) * AgeUnit;
  return Peer;
}

std::vector<PeerAge> decodePeerAges(capnp::List<std::uint32_t>::Reader List) {
  std::vector<PeerAge> Ages;
  for (std::uint32_t Word : List)
    Ages.push_back(decodePeerAge(Word));
  return Ages;
}

void encodePeerAges(capnp::List<std::uint32_t>::Builder List,
                    std::span<const PeerAge> Ages) {
  for (unsigned I = 0; I < List.size(); ++I)
    List.set(I, encodePeerAge(Ages[I]));
}

Duration fromMillis(std::uint32_t Millis) {
  return std::chrono::milliseconds(Millis);
}

std::uint32_t toMillisField(Duration Age) {
  return std::uint32_t(std::clamp<std::int64_t>(toMillis(Age), 0, MaxMillis));
}

CrashReport decodeCrashReport(inner::CrashReport::Reader Message) {
  CrashReport Result;
  Result.m_Request = Message.getRequest();
  auto Runs = Message.getEndedRuns();
  auto Ages = Message.getEndAgeMillis();
  for (unsigned I = 0; I < std::min(Runs.size(), Ages.size()); ++I)
    Result.m_Ends.push_back({Runs[I], fromMillis(Ages[I])});
  if (Message.getIsAnswered())
    Result.m_AnswerAge = fromMillis(Message.getAnswerAgeMillis());
  if (Message.getIsTried())
    Result.m_TrialAge = fromMillis(Message.getTrialAgeMillis());
  Result.m_TrialStage = Message.getTrialStage();
  Result.m_SeenAge = fromMillis(Message.getSeenAgeMillis());
  return Result;
}

void encodeCrashReport(inner::CrashReport::Builder Message,
                       const CrashReport &Report) {
  Message.setRequest(Report.m_Request);
  auto Runs = Message.initEndedRuns(unsigned(Report.m_Ends.size()));
  auto Ages = Message.initEndAgeMillis(unsigned(Report.m_Ends.size()));
  for (unsigned I = 0; I < Runs.size(); ++I) {
    Runs.set(I, Report.m_Ends[I].m_Run);
    Ages.set(I, toMillisField(Report.m_Ends[I].m_Age));
  }
  Message.setIsAnswered(Report.m_AnswerAge.has_value());
  Message.setAnswerAgeMillis(
      toMillisField(Report.m_AnswerAge.value_or(Duration())));
  Message.setIsTried(Report.m_TrialAge.has_value());
  Message.setTrialAgeMillis(
      toMillisField(Report.m_TrialAge.value_or(Duration())));
  Message.setTrialStage(std::uint8_t(Report.m_TrialStage));
  Message.setSeenAgeMillis(toMillisField(Report.m_SeenAge));
}

/// \brief A state that this version doesn't know is worse than those it knows.
LinkState decodeLinkState(std::uint8_t State) {
  return LinkState(
      std::min<std::uint8_t>(State, std::uint8_t(LinkState::Lost)));
}

/// \brief \p Number, or \p Otherwise if it isn't within [0, \p Max].
double numberWithin(double Number, double Max, double Otherwise) {
  return Number >= 0 && Number <= Max ? Number : Otherwise;
}

Heartbeat toHeartbeat(inner::Heartbeat::Reader Message) {
  Heartbeat Result;
  Result.m_Sender.m_Vm = VmName(toString(Message.getVm()));
  Result.m_Sender.m_Incarnation = Message.getIncarnation();
  Result.m_Sender.m_Region = RegionName(toString(Message.getRegion()));
  Result.m_Sender.m_Domain =
      FailureDomainName(toString(Message.getFailureDomain()));
  Result.m_Sender.m_CallerAddress = toString(Message.getCallerAddress());
  Result.m_Sender.m_PeerAddress = toString(Message.getPeerAddress());
  Result.m_Sender.m_Ready = Message.getReady();
  Result.m_Sender.m_Leaving = Message.getLeaving();
  Result.m_Sender.m_Capacity =
      numberWithin(Message.getCapacity(), MaxCapacity, EntryVm().m_Capacity);
  Result.m_Sender.m_FollowsStore = Message.getReadsStore();
  Result.m_Sender.m_TimerLag = Duration(Message.getTimerLagMicros());
  Result.m_Sender.m_Links = decodeLinkState(Message.getLinks());
  Result.m_Sender.m_DoubtsLinks = Message.getDoubtsLinks();
  if (Message.getContactAgeMillis() != NoContact)
    Result.m_Sender.m_ContactAge = fromMillis(Message.getContactAgeMillis());
  Result.m_SyncedVersions = decodeNumbers(Message.getSyncedVersions());
  Result.m_ConfigVersion = Message.getConfigVersion();
  if (Result.m_Sender.m_Vm.empty() && Message.getVmHash() != 0)
    Result.m_BriefSenderHash = Message.getVmHash();
  for (auto Load : Message.getUpstreamLoads())
    Result.m_UpstreamLoads.push_back(
        {loadKey(Load.getUpstreamHash()),
         Load.getInFlightTenths() / LoadUnitsPerRequest});
  for (std::uint32_t Word : Message.getCompactLoads())
    Result.m_UpstreamLoads.push_back(
        {Word >> LoadBits, (Word & MaxLoadUnits) / LoadUnitsPerRequest});
  for (auto Share : Message.getServiceShares())
    Result.m_ServiceShares.push_back(
        {Share.getServiceHash(), numberWithin(Share.getLocalShare(), 1, 1),
         numberWithin(Share.getUtilization(), MaxUtilization, 0),
         numberWithin(Share.getRefusedFraction(), 1, 0)});
  for (auto Load : Message.getCustomerLoads())
    Result.m_CustomerLoads.push_back(
        {Load.getCustomerHash(),
         numberWithin(Load.getOfferedPerSecond(), MaxCustomerRate, 0),
         numberWithin(Load.getAdmittedPerSecond(), MaxCustomerRate, 0),
         std::max(1U, unsigned(Load.getVms()))});
  Result.m_PeerAges = decodePeerAges(Message.getPeerAges());
  Result.m_ReaderAges = decodePeerAges(Message.getReaderAges());
  Result.m_AnnouncedRuns = decodeNumbers(Message.getAnnouncedRuns());
  Result.m_RemovedRuns = decodeNumbers(Message.getRemovedRuns());
  for (auto Limit : Message.getLimits()) {
    PeerLimit &Added = Result.m_Limits.emplace_back();
    Added.m_Run = Limit.getRun();
    double Rate = double(Limit.getPerSecond());
    if (Limit.getIsNamed() && std::isfinite(Rate) && Rate >= 0)
      Added.m_Rate = Rate;
    Added.m_Age = std::chrono::milliseconds(Limit.getAgeMillis());
  }
  for (auto Report : Message.getCrashes())
    Result.m_Crashes.push_back(decodeCrashReport(Report));
  for (auto Address : Message.getKnownPeerAddresses())
    Result.m_KnownPeerAddresses.push_back(toString(Address));
  return Result;
}

RelayedRows toRelayedRows(inner::RelayedRows::Reader Message) {
  RelayedRows Result;
  for (auto Row : Message.getRows()) {
    auto Value = Row.getValue();
    Result.m_Rows.push_back(
        {{toString(Row.getTable()), toString(Row.getKey()),
          std::string(reinterpret_cast<const char *>(Value.begin()),
                      Value.size()),
          Row.getVersion(), Row.getRemoved()},
         Row.getTentative()});
  }
  Result.m_SyncedVersions = decodeNumbers(Message.getSyncedVersions());
  Result.m_IsFullRead = Message.getFullRead();
  return Result;
}

std::vector<std::uint64_t> toVersions(inner::RowsRequest::Reader Message) {
  return decodeNumbers(Message.getAfterVersions());
}

/// \brief Decodes a message from an untrusted sender with \p Decode.
/// \returns Nothing if the message is malformed.
template <class Root, class Result, class Function>
std::optional<Result> decodeMessage(std::string_view Bytes, Function Decode) {
  std::optional<Result> Decoded;
  // Cap'n Proto reports a malformed message by an exception, which must not
  // leave this function.
  kj::Maybe<kj::Exception> Failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream In(toBytes(Bytes));
    capnp::PackedMessageReader Message(In, readerLimits());
    Decoded = Decode(Message.getRoot<Root>());
  });
  if (Failure != nullptr)
    return std::nullopt;
  return Decoded;
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<inner::Heartbeat>();
  if (Message.m_BriefSenderHash) {
    Root.setVmHash(*Message.m_BriefSenderHash);
  } else {
    Root.setVm(Message.m_Sender.m_Vm.str());
    Root.setRegion(Message.m_Sender.m_Region.str());
    Root.setFailureDomain(Message.m_Sender.m_Domain.str());
    Root.setCallerAddress(Message.m_Sender.m_CallerAddress);
    Root.setPeerAddress(Message.m_Sender.m_PeerAddress);
  }
  Root.setIncarnation(Message.m_Sender.m_Incarnation);
  Root.setReady(Message.m_Sender.m_Ready);
  Root.setLeaving(Message.m_Sender.m_Leaving);
  Root.setCapacity(Message.m_Sender.m_Capacity);
  Root.setTimerLagMicros(std::uint32_t(Message.m_Sender.m_TimerLag.count()));
  Root.setReadsStore(Message.m_Sender.m_FollowsStore);
  Root.setLinks(std::uint8_t(Message.m_Sender.m_Links));
  Root.setDoubtsLinks(Message.m_Sender.m_DoubtsLinks);
  if (Message.m_Sender.m_ContactAge)
    Root.setContactAgeMillis(
        std::min(toMillisField(*Message.m_Sender.m_ContactAge), NoContact - 1));
  encodeNumbers(
      Root.initSyncedVersions(unsigned(Message.m_SyncedVersions.size())),
      Message.m_SyncedVersions);
  encodeNumbers(
      Root.initAnnouncedRuns(unsigned(Message.m_AnnouncedRuns.size())),
      Message.m_AnnouncedRuns);
  encodeNumbers(Root.initRemovedRuns(unsigned(Message.m_RemovedRuns.size())),
                Message.m_RemovedRuns);
  Root.setConfigVersion(Message.m_ConfigVersion);
  auto Limits = Root.initLimits(unsigned(Message.m_Limits.size()));
  for (unsigned I = 0; I < Limits.size(); ++I) {
    const PeerLimit &Limit = Message.m_Limits[I];
    Limits[I].setRun(Limit.m_Run);
    Limits[I].setIsNamed(Limit.m_Rate.has_value());
    Limits[I].setPerSecond(float(Limit.m_Rate.value_or(0)));
    Limits[I].setAgeMillis(std::uint32_t(toMillis(Limit.m_Age)));
  }
  auto Crashes = Root.initCrashes(unsigned(Message.m_Crashes.size()));
  for (unsigned I = 0; I < Crashes.size(); ++I)
    encodeCrashReport(Crashes[I], Message.m_Crashes[I]);
  auto Loads = Root.initCompactLoads(unsigned(Message.m_UpstreamLoads.size()));
  for (unsigned I = 0; I < Loads.size(); ++I) {
    const PeerLoad &Load = Message.m_UpstreamLoads[I];
    auto Units = std::clamp<long>(
        std::lround(Load.m_ActiveRequests * LoadUnitsPerRequest), 0,
        MaxLoadUnits);
    Loads.set(I, (Load.m_UpstreamKey << LoadBits) | std::uint32_t(Units));
  }
  auto Shares =
      Root.initServiceShares(unsigned(Message.m_ServiceShares.size()));
  for (unsigned I = 0; I < Shares.size(); ++I) {
    Shares[I].setServiceHash(Message.m_ServiceShares[I].m_ServiceHash);
    Shares[I].setLocalShare(float(Message.m_ServiceShares[I].m_LocalShare));
    Shares[I].setUtilization(float(Message.m_ServiceShares[I].m_Utilization));
    Shares[I].setRefusedFraction(
        float(Message.m_ServiceShares[I].m_RefusedFraction));
  }
  auto Customers =
      Root.initCustomerLoads(unsigned(Message.m_CustomerLoads.size()));
  for (unsigned I = 0; I < Customers.size(); ++I) {
    const CustomerLoad &Load = Message.m_CustomerLoads[I];
    Customers[I].setCustomerHash(Load.m_CustomerHash);
    Customers[I].setOfferedPerSecond(float(Load.m_OfferedPerSecond));
    Customers[I].setAdmittedPerSecond(float(Load.m_AdmittedPerSecond));
    Customers[I].setVms(std::uint16_t(std::min(Load.m_Vms, MaxCustomerVms)));
  }
  encodePeerAges(Root.initPeerAges(unsigned(Message.m_PeerAges.size())),
                 Message.m_PeerAges);
  encodePeerAges(Root.initReaderAges(unsigned(Message.m_ReaderAges.size())),
                 Message.m_ReaderAges);
  auto Addresses = Root.initKnownPeerAddresses(
      unsigned(Message.m_KnownPeerAddresses.size()));
  for (unsigned I = 0; I < Addresses.size(); ++I)
    Addresses.set(I, Message.m_KnownPeerAddresses[I]);
  return serializePacked(Builder);
}

std::optional<Heartbeat> decodeHeartbeat(std::string_view Bytes) {
  return decodeMessage<inner::Heartbeat, Heartbeat>(Bytes, toHeartbeat);
}

std::string encodeRowsRequest(std::span<const std::uint64_t> AfterVersions) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<inner::RowsRequest>();
  encodeNumbers(Root.initAfterVersions(unsigned(AfterVersions.size())),
                AfterVersions);
  return serializePacked(Builder);
}

std::optional<std::vector<std::uint64_t>>
decodeRowsRequest(std::string_view Bytes) {
  return decodeMessage<inner::RowsRequest, std::vector<std::uint64_t>>(
      Bytes, toVersions);
}

std::string encodeRows(const RelayedRows &Relayed) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<inner::RelayedRows>();
  auto Rows = Root.initRows(unsigned(Relayed.m_Rows.size()));
  for (unsigned I = 0; I < Rows.size(); ++I) {
    const StoreRow &Row = Relayed.m_Rows[I].m_Row;
    Rows[I].setTable(Row.m_Table);
    Rows[I].setKey(Row.m_Key);
    Rows[I].setValue(toBytes(Row.m_Value));
    Rows[I].setVersion(Row.m_Version);
    Rows[I].setRemoved(Row.m_Removed);
    Rows[I].setTentative(Relayed.m_Rows[I].m_Tentative);
  }
  encodeNumbers(
      Root.initSyncedVersions(unsigned(Relayed.m_SyncedVersions.size())),
      Relayed.m_SyncedVersions);
  Root.setFullRead(Relayed.m_IsFullRead);
  return serializePacked(Builder);
}

std::optional<RelayedRows> decodeRows(std::string_view Bytes) {
  return decodeMessage<inner::RelayedRows, RelayedRows>(Bytes, toRelayedRows);
}

} // namespace mustardspoke::steer
