/// \file
/// Cap'n Proto messages of the gateway's inner protocol.
#include "inner/beat_codec.h"

#include "inner/beat.capnp.h"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include <cmath>

namespace mustardspoke::steer {
namespace {

/// Words that a decoder may visit; more means a malformed message.
constexpr std::uint64_t MostWords = 4ULL << 20;

constexpr double BusyUnits = 10;    ///< Parts of a request on the wire.
constexpr Duration AgeUnit = 100ms; ///< Of ages on the wire, rounded up.

std::string text(capnp::Text::Reader From) {
  return {From.begin(), From.size()};
}

std::string packed(capnp::MessageBuilder &Message) {
  kj::VectorOutputStream Out;
  capnp::writePackedMessage(Out, Message);
  auto Bytes = Out.getArray();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

kj::ArrayPtr<const kj::byte> bytes(std::string_view From) {
  return {reinterpret_cast<const kj::byte *>(From.data()), From.size()};
}

capnp::ReaderOptions limits() {
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = MostWords;
  return Options;
}

std::vector<std::uint64_t> numbers(capnp::List<std::uint64_t>::Reader From) {
  std::vector<std::uint64_t> To;
  for (std::uint64_t One : From)
    To.push_back(One);
  return To;
}

void setNumbers(capnp::List<std::uint64_t>::Builder To,
                std::span<const std::uint64_t> From) {
  for (unsigned I = 0; I < To.size(); ++I)
    To.set(I, From[I]);
}

constexpr unsigned AgeBits = 32 - PeerAge::HashBits - PeerAge::RunBits;

std::uint32_t wordOf(const PeerAge &From) {
  std::int64_t Most = (1 << AgeBits) - 1;
  std::int64_t Units = (From.m_Age + AgeUnit - 1us) / AgeUnit;
  return (From.m_VmHash << (PeerAge::RunBits + AgeBits)) |
         (From.m_Run << AgeBits) | std::uint32_t(std::min(Units, Most));
}

PeerAge ageOf(std::uint32_t Word) {
  PeerAge To;
  To.m_VmHash = Word >> (PeerAge::RunBits + AgeBits);
  To.m_Run = (Word >> AgeBits) & ((1U << PeerAge::RunBits) - 1);
  To.m_Age = std::int64_t(Word & ((1U << AgeBits) - 1)) * AgeUnit;
  return To;
}

Beat beatOf(inner::Beat::Reader From) {
  Beat To;
  To.m_From.m_Vm = VmName(text(From.getVm()));
  To.m_From.m_Incarnation = From.getIncarnation();
  To.m_From.m_Region = RegionName(text(From.getRegion()));
  To.m_From.m_Domain = FailureDomainName(text(From.getDomain()));
  To.m_From.m_CallerAddress = text(From.getCallerAddress());
  To.m_From.m_PeerAddress = text(From.getPeerAddress());
  To.m_From.m_Ready = From.getReady();
  To.m_From.m_Leaving = From.getLeaving();
  To.m_From.m_Capacity = From.getCapacity();
  To.m_From.m_Reading = From.getReading();
  To.m_From.m_Lag = Duration(From.getLagMicros());
  To.m_Reach = numbers(From.getReach());
  To.m_RoutesVersion = From.getRoutesVersion();
  for (auto Load : From.getLoads())
    To.m_Loads.push_back(
        {Load.getUpstream(), Load.getBusyTenths() / BusyUnits});
  for (auto Share : From.getShares())
    To.m_Shares.push_back({Share.getService(), double(Share.getLocal()),
                           double(Share.getBusy())});
  for (std::uint32_t Age : From.getAges())
    To.m_Ages.push_back(ageOf(Age));
  for (auto Other : From.getOthers())
    To.m_Others.push_back(text(Other));
  return To;
}

CarriedRows rowsOf(inner::Rows::Reader From) {
  CarriedRows To;
  for (auto Row : From.getRows()) {
    auto Value = Row.getValue();
    To.m_Rows.push_back(
        {{text(Row.getTable()), text(Row.getKey()),
          std::string(reinterpret_cast<const char *>(Value.begin()),
                      Value.size()),
          Row.getVersion(), Row.getRemoved()},
         Row.getDoubtful()});
  }
  To.m_Reach = numbers(From.getReach());
  To.m_Whole = From.getWhole();
  return To;
}

std::vector<std::uint64_t> questionOf(inner::RowsQuestion::Reader From) {
  return numbers(From.getAfter());
}

/// \brief Decodes a message, which may come from anywhere, with \p Decode.
template <class Root, class Result, class Function>
std::optional<Result> decoded(std::string_view Bytes, Function Decode) {
  std::optional<Result> To;
  // A malformed message ends in an exception, here and nowhere else.
  kj::Maybe<kj::Exception> Failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream In(bytes(Bytes));
    capnp::PackedMessageReader Message(In, limits());
    To = Decode(Message.getRoot<Root>());
  });
  if (Failure != nullptr)
    return std::nullopt;
  return To;
}

} // namespace

std::string encodeBeat(const Beat &From) {
  capnp::MallocMessageBuilder Message;
  auto To = Message.initRoot<inner::Beat>();
  To.setVm(From.m_From.m_Vm.str());
  To.setIncarnation(From.m_From.m_Incarnation);
  To.setRegion(From.m_From.m_Region.str());
  To.setDomain(From.m_From.m_Domain.str());
  To.setCallerAddress(From.m_From.m_CallerAddress);
  To.setPeerAddress(From.m_From.m_PeerAddress);
  To.setReady(From.m_From.m_Ready);
  To.setLeaving(From.m_From.m_Leaving);
  To.setCapacity(From.m_From.m_Capacity);
  To.setLagMicros(std::uint32_t(From.m_From.m_Lag.count()));
  To.setReading(From.m_From.m_Reading);
  setNumbers(To.initReach(unsigned(From.m_Reach.size())), From.m_Reach);
  To.setRoutesVersion(From.m_RoutesVersion);
  auto Loads = To.initLoads(unsigned(From.m_Loads.size()));
  for (unsigned I = 0; I < Loads.size(); ++I) {
    Loads[I].setUpstream(From.m_Loads[I].m_UpstreamHash);
    Loads[I].setBusyTenths(
        std::uint16_t(std::lround(From.m_Loads[I].m_Busy * BusyUnits)));
  }
  auto Shares = To.initShares(unsigned(From.m_Shares.size()));
  for (unsigned I = 0; I < Shares.size(); ++I) {
    Shares[I].setService(From.m_Shares[I].m_ServiceHash);
    Shares[I].setLocal(float(From.m_Shares[I].m_Local));
    Shares[I].setBusy(float(From.m_Shares[I].m_Busy));
  }
  auto Ages = To.initAges(unsigned(From.m_Ages.size()));
  for (unsigned I = 0; I < Ages.size(); ++I)
    Ages.set(I, wordOf(From.m_Ages[I]));
  auto Others = To.initOthers(unsigned(From.m_Others.size()));
  for (unsigned I = 0; I < Others.size(); ++I)
    Others.set(I, From.m_Others[I]);
  return packed(Message);
}

std::optional<Beat> decodeBeat(std::string_view Bytes) {
  return decoded<inner::Beat, Beat>(Bytes, beatOf);
}

std::string encodeQuestion(std::span<const std::uint64_t> After) {
  capnp::MallocMessageBuilder Message;
  auto To = Message.initRoot<inner::RowsQuestion>();
  setNumbers(To.initAfter(unsigned(After.size())), After);
  return packed(Message);
}

std::optional<std::vector<std::uint64_t>>
decodeQuestion(std::string_view Bytes) {
  return decoded<inner::RowsQuestion, std::vector<std::uint64_t>>(Bytes,
                                                                  questionOf);
}

std::string encodeRows(const CarriedRows &From) {
  capnp::MallocMessageBuilder Message;
  auto To = Message.initRoot<inner::Rows>();
  auto Rows = To.initRows(unsigned(From.m_Rows.size()));
  for (unsigned I = 0; I < Rows.size(); ++I) {
    const StoreRow &Row = From.m_Rows[I].m_Row;
    Rows[I].setTable(Row.m_Table);
    Rows[I].setKey(Row.m_Key);
    Rows[I].setValue(bytes(Row.m_Value));
    Rows[I].setVersion(Row.m_Version);
    Rows[I].setRemoved(Row.m_Removed);
    Rows[I].setDoubtful(From.m_Rows[I].m_Doubtful);
  }
  setNumbers(To.initReach(unsigned(From.m_Reach.size())), From.m_Reach);
  To.setWhole(From.m_Whole);
  return packed(Message);
}

std::optional<CarriedRows> decodeRows(std::string_view Bytes) {
  return decoded<inner::Rows, CarriedRows>(Bytes, rowsOf);
}

} // namespace mustardspoke::steer
