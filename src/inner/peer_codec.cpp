/// \file
/// Encoding and decoding of membership heartbeats and tickets.
#include "inner/peer_codec.h"

namespace mustardspoke {
namespace {

std::string toString(capnp::Text::Reader Text) {
  return {Text.begin(), Text.size()};
}

kj::ArrayPtr<const kj::byte> toBytes(const std::string &Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

void encodeMember(const MemberInfo &Member, wire::Member::Builder Message) {
  encodeIncarnation(Member.m_Identity, Message.initVmIncarnation());
  Message.setClockSeconds(Member.m_TicketClock);
  Message.setHeartbeatCounter(Member.m_HeartbeatCount);
  Message.setState(wire::State(Member.m_State));
  Message.setCallerAddress(Member.m_CallerAddress);
  Message.setPeerAddress(Member.m_PeerAddress);
  Message.setRegion(Member.m_Region.str());
  Message.setFailureDomain(Member.m_FailureDomain.str());
  Message.setBundleVersion(Member.m_BundleVersion);
  auto Slots = Message.initServiceSlots(unsigned(Member.m_ServiceSlots.size()));
  for (unsigned I = 0; I < Slots.size(); ++I)
    Slots.set(I, Member.m_ServiceSlots[I]);
  auto Draining = Message.initDrainingUpstreams(
      unsigned(Member.m_DrainingUpstreams.size()));
  for (unsigned I = 0; I < Draining.size(); ++I)
    Draining.set(I, Member.m_DrainingUpstreams[I].str());
  encodeIncarnation(Member.m_TicketSuccessor, Message.initSuccessor());
}

MemberInfo decodeMember(wire::Member::Reader Message) {
  MemberInfo Member;
  Member.m_Identity = decodeIncarnation(Message.getVmIncarnation());
  Member.m_TicketClock = Message.getClockSeconds();
  Member.m_HeartbeatCount = Message.getHeartbeatCounter();
  Member.m_State = MemberState(
      std::min(unsigned(Message.getState()), unsigned(MemberState::Left)));
  Member.m_CallerAddress = toString(Message.getCallerAddress());
  Member.m_PeerAddress = toString(Message.getPeerAddress());
  Member.m_Region = RegionName(toString(Message.getRegion()));
  Member.m_FailureDomain =
      FailureDomainName(toString(Message.getFailureDomain()));
  Member.m_BundleVersion = Message.getBundleVersion();
  for (std::uint32_t Slots : Message.getServiceSlots())
    Member.m_ServiceSlots.push_back(Slots);
  for (auto Upstream : Message.getDrainingUpstreams())
    Member.m_DrainingUpstreams.emplace_back(toString(Upstream));
  Member.m_TicketSuccessor = decodeIncarnation(Message.getSuccessor());
  return Member;
}

} // namespace

void encodeIncarnation(const VmIncarnation &Incarnation,
                       wire::VmIncarnation::Builder Message) {
  Message.setVm(Incarnation.m_Vm.str());
  Message.setIncarnation(Incarnation.m_Incarnation);
}

VmIncarnation decodeIncarnation(wire::VmIncarnation::Reader Message) {
  return {VmName(toString(Message.getVm())), Message.getIncarnation()};
}

void encodeMembers(std::span<const MemberInfo> Members,
                   capnp::List<wire::Member>::Builder List) {
  for (unsigned I = 0; I < List.size(); ++I)
    encodeMember(Members[I], List[I]);
}

std::vector<MemberInfo> decodeMembers(capnp::List<wire::Member>::Reader List) {
  std::vector<MemberInfo> Members;
  for (auto Member : List)
    Members.push_back(decodeMember(Member));
  return Members;
}

void encodeOwnedIncarnations(
    std::span<const OwnedIncarnation> Owned,
    capnp::List<wire::OwnedIncarnation>::Builder List) {
  for (unsigned I = 0; I < List.size(); ++I) {
    encodeIncarnation(Owned[I].m_Owner, List[I].initVmIncarnation());
    List[I].setClockSeconds(Owned[I].m_Clock);
  }
}

std::vector<OwnedIncarnation>
decodeOwnedIncarnations(capnp::List<wire::OwnedIncarnation>::Reader List) {
  std::vector<OwnedIncarnation> Owned;
  for (auto Message : List)
    Owned.push_back({decodeIncarnation(Message.getVmIncarnation()),
                     Message.getClockSeconds()});
  return Owned;
}

void encodeTickets(std::span<const TicketRecord> Records,
                   capnp::List<wire::Ticket>::Builder List) {
  for (unsigned I = 0; I < List.size(); ++I) {
    const TicketRecord &Record = Records[I];
    auto Message = List[I];
    Message.setIdHigh(Record.m_Id.m_High);
    Message.setIdLow(Record.m_Id.m_Low);
    encodeIncarnation(Record.m_Owner, Message.initOwner());
    Message.setIssuedAt(Record.m_IssuedAt);
    Message.setState(wire::TicketState(Record.m_State));
    Message.setAnswerComplete(Record.m_Answer.m_Complete);
    Message.setAnswerStatus(std::uint16_t(Record.m_Answer.m_Status));
    Message.setAnswerContentType(Record.m_Answer.m_ContentType);
    Message.setAnswerBody(toBytes(Record.m_Answer.m_Body));
  }
}

std::vector<TicketRecord>
decodeTickets(capnp::List<wire::Ticket>::Reader List) {
  std::vector<TicketRecord> Records;
  for (auto Message : List) {
    TicketRecord Record;
    Record.m_Id = {Message.getIdHigh(), Message.getIdLow()};
    Record.m_Owner = decodeIncarnation(Message.getOwner());
    Record.m_IssuedAt = Message.getIssuedAt();
    Record.m_State = TicketState(
        std::min(unsigned(Message.getState()), unsigned(TicketState::Unknown)));
    Record.m_Answer.m_Complete = Message.getAnswerComplete();
    Record.m_Answer.m_Status = Message.getAnswerStatus();
    Record.m_Answer.m_ContentType = toString(Message.getAnswerContentType());
    auto Body = Message.getAnswerBody();
    Record.m_Answer.m_Body.assign(reinterpret_cast<const char *>(Body.begin()),
                                  Body.size());
    Records.push_back(std::move(Record));
  }
  return Records;
}

} // namespace mustardspoke
