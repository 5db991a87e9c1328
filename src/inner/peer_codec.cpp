/// \file
/// Encoding and decoding of heartbeats and tickets.
#include "inner/peer_codec.h"

namespace mustardspoke {
namespace {

std::string text(capnp::Text::Reader From) {
  return {From.begin(), From.size()};
}

kj::ArrayPtr<const kj::byte> bytes(const std::string &From) {
  return {reinterpret_cast<const kj::byte *>(From.data()), From.size()};
}

void encodeMember(const MemberInfo &From, wire::Member::Builder To) {
  encodeRun(From.m_Identity, To.initRun());
  To.setClock(From.m_TicketClock);
  To.setCounter(From.m_HeartbeatCount);
  To.setState(wire::State(From.m_State));
  To.setCallerAddress(From.m_CallerAddress);
  To.setPeerAddress(From.m_PeerAddress);
  To.setRegion(From.m_Region.str());
  To.setFailureDomain(From.m_FailureDomain.str());
  To.setBundleVersion(From.m_BundleVersion);
  auto Capacity = To.initCapacity(unsigned(From.m_ServiceSlots.size()));
  for (unsigned I = 0; I < Capacity.size(); ++I)
    Capacity.set(I, From.m_ServiceSlots[I]);
  auto Draining = To.initDraining(unsigned(From.m_DrainingUpstreams.size()));
  for (unsigned I = 0; I < Draining.size(); ++I)
    Draining.set(I, From.m_DrainingUpstreams[I].str());
  encodeRun(From.m_TicketSuccessor, To.initSuccessor());
}

MemberInfo decodeMember(wire::Member::Reader From) {
  MemberInfo To;
  To.m_Identity = decodeRun(From.getRun());
  To.m_TicketClock = From.getClock();
  To.m_HeartbeatCount = From.getCounter();
  To.m_State = MemberState(
      std::min(unsigned(From.getState()), unsigned(MemberState::Left)));
  To.m_CallerAddress = text(From.getCallerAddress());
  To.m_PeerAddress = text(From.getPeerAddress());
  To.m_Region = RegionName(text(From.getRegion()));
  To.m_FailureDomain = FailureDomainName(text(From.getFailureDomain()));
  To.m_BundleVersion = From.getBundleVersion();
  for (std::uint32_t Units : From.getCapacity())
    To.m_ServiceSlots.push_back(Units);
  for (auto Name : From.getDraining())
    To.m_DrainingUpstreams.emplace_back(text(Name));
  To.m_TicketSuccessor = decodeRun(From.getSuccessor());
  return To;
}

} // namespace

void encodeRun(const VmIncarnation &From, wire::VmRun::Builder To) {
  To.setVm(From.m_Vm.str());
  To.setIncarnation(From.m_Incarnation);
}

VmIncarnation decodeRun(wire::VmRun::Reader From) {
  return {VmName(text(From.getVm())), From.getIncarnation()};
}

void encodeMembers(std::span<const MemberInfo> From,
                   capnp::List<wire::Member>::Builder To) {
  for (unsigned I = 0; I < To.size(); ++I)
    encodeMember(From[I], To[I]);
}

std::vector<MemberInfo> decodeMembers(capnp::List<wire::Member>::Reader From) {
  std::vector<MemberInfo> To;
  for (auto Member : From)
    To.push_back(decodeMember(Member));
  return To;
}

void encodeRuns(std::span<const OwnedIncarnation> From,
                capnp::List<wire::OwnedRun>::Builder To) {
  for (unsigned I = 0; I < To.size(); ++I) {
    encodeRun(From[I].m_Owner, To[I].initRun());
    To[I].setClock(From[I].m_Clock);
  }
}

std::vector<OwnedIncarnation>
decodeRuns(capnp::List<wire::OwnedRun>::Reader From) {
  std::vector<OwnedIncarnation> To;
  for (auto One : From)
    To.push_back({decodeRun(One.getRun()), One.getClock()});
  return To;
}

void encodeTickets(std::span<const TicketRecord> From,
                   capnp::List<wire::Ticket>::Builder To) {
  for (unsigned I = 0; I < To.size(); ++I) {
    const TicketRecord &Record = From[I];
    auto One = To[I];
    One.setIdHigh(Record.m_Id.m_High);
    One.setIdLow(Record.m_Id.m_Low);
    encodeRun(Record.m_Owner, One.initOwner());
    One.setIssuedAt(Record.m_IssuedAt);
    One.setState(wire::TicketState(Record.m_State));
    One.setAnswerWhole(Record.m_Answer.m_Complete);
    One.setAnswerStatus(std::uint16_t(Record.m_Answer.m_Status));
    One.setAnswerType(Record.m_Answer.m_ContentType);
    One.setAnswerBody(bytes(Record.m_Answer.m_Body));
  }
}

std::vector<TicketRecord>
decodeTickets(capnp::List<wire::Ticket>::Reader From) {
  std::vector<TicketRecord> To;
  for (auto One : From) {
    TicketRecord Record;
    Record.m_Id = {One.getIdHigh(), One.getIdLow()};
    Record.m_Owner = decodeRun(One.getOwner());
    Record.m_IssuedAt = One.getIssuedAt();
    Record.m_State = TicketState(
        std::min(unsigned(One.getState()), unsigned(TicketState::Unknown)));
    Record.m_Answer.m_Complete = One.getAnswerWhole();
    Record.m_Answer.m_Status = One.getAnswerStatus();
    Record.m_Answer.m_ContentType = text(One.getAnswerType());
    auto Body = One.getAnswerBody();
    Record.m_Answer.m_Body.assign(reinterpret_cast<const char *>(Body.begin()),
                                  Body.size());
    To.push_back(std::move(Record));
  }
  return To;
}

} // namespace mustardspoke
