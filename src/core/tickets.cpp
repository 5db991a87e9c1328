/// \file
/// Ticket text format, claims, records and handover.
#include "core/tickets.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace mustardspoke {
namespace {

constexpr std::size_t TicketFields = 6;
constexpr std::size_t IdDigits = 32;

template <class Int>
bool parseWhole(std::string_view Text, Int &Value, int Base = 10) {
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, Base);
  return Error == std::errc() && End == Text.data() + Text.size();
}

std::uint64_t seconds(Duration Value) noexcept {
  return std::uint64_t(
      std::chrono::duration_cast<std::chrono::seconds>(Value).count());
}

} // namespace

std::string Ticket::toText() const {
  std::array<char, IdDigits + 1> Id{};
  std::snprintf(Id.data(), Id.size(), "%016llx%016llx",
                (unsigned long long)m_Id.m_High,
                (unsigned long long)m_Id.m_Low);
  return "1." + std::string(Id.data()) + "." + m_Service.str() + "." +
         m_Owner.m_Vm.str() + "." + std::to_string(m_Owner.m_Incarnation) +
         "." + std::to_string(m_IssuedAt);
}

std::optional<Ticket> Ticket::parse(std::string_view Text) {
  std::array<std::string_view, TicketFields> Field;
  for (std::size_t I = 0; I < TicketFields; ++I) {
    std::size_t Dot = Text.find('.');
    bool IsLast = I + 1 == TicketFields;
    if (IsLast != (Dot == std::string_view::npos))
      return std::nullopt;
    Field[I] = Text.substr(0, Dot);
    if (!IsLast)
      Text.remove_prefix(Dot + 1);
  }
  Ticket Result;
  if (Field[0] != "1" || Field[1].size() != IdDigits || Field[2].empty() ||
      Field[3].empty())
    return std::nullopt;
  if (!parseWhole(Field[1].substr(0, IdDigits / 2), Result.m_Id.m_High, 16) ||
      !parseWhole(Field[1].substr(IdDigits / 2), Result.m_Id.m_Low, 16) ||
      !parseWhole(Field[4], Result.m_Owner.m_Incarnation) ||
      !parseWhole(Field[5], Result.m_IssuedAt))
    return std::nullopt;
  Result.m_Service = ServiceName(std::string(Field[2]));
  Result.m_Owner.m_Vm = VmName(std::string(Field[3]));
  return Result;
}

std::uint64_t TicketTable::clock(TimePoint Now) const noexcept {
  return seconds(Now - m_Start) + 1;
}

bool TicketTable::ownsIncarnation(const TicketTable &Table,
                                  const VmIncarnation &Owner) noexcept {
  if (Table.m_HandedOver)
    return false;
  return Owner == Table.m_Self || Table.m_Inherited.contains(Owner);
}

std::optional<std::uint64_t>
TicketTable::clockOf(const VmIncarnation &Owner, TimePoint Now) const noexcept {
  if (Owner == m_Self)
    return clock(Now);
  auto At = m_Inherited.find(Owner);
  if (At == m_Inherited.end())
    return std::nullopt;
  return At->second.m_Clock + seconds(Now - At->second.m_TakenOverAt);
}

TicketVerdict TicketTable::claimOnce(TicketTable &Table,
                                     const Ticket &Presented, TimePoint Now) {
  using Kind = TicketVerdict::Kind;
  auto Refuse = [](ErrorKind Error) {
    return TicketVerdict{Kind::Refuse, Error};
  };
  if (auto At = Table.m_Records.find(Presented.m_Id);
      At != Table.m_Records.end()) {
    switch (At->second.m_State) {
    case TicketState::Running:
      return Refuse(ErrorKind::TicketInProgress);
    case TicketState::NotRun:
      return Refuse(ErrorKind::TicketClosed);
    case TicketState::Unknown:
      return Refuse(ErrorKind::TicketForgotten);
    case TicketState::Done:
      if (At->second.m_Answer.m_Complete)
        return {Kind::Replay, ErrorKind::None, &At->second};
      return Refuse(ErrorKind::TicketForgotten);
    }
  }
  auto Clock = Table.clockOf(Presented.m_Owner, Now);
  if (!Clock || Table.m_HandedOver)
    return Refuse(ErrorKind::TicketForgotten);
  // A ticket issued in the future must not become valid after it was refused.
  if (Presented.m_IssuedAt > *Clock ||
      *Clock - Presented.m_IssuedAt > Table.m_LifeSeconds)
    return Refuse(ErrorKind::TicketForgotten);
  // A full table can't record the claim, so the call must not run.
  if (Table.m_Records.size() >= Table.m_MaxRecords)
    return Refuse(ErrorKind::TicketForgotten);
  Table.m_Records.emplace(Presented.m_Id, TicketRecord{Presented.m_Id,
                                                       Presented.m_Owner,
                                                       Presented.m_IssuedAt,
                                                       TicketState::Running,
                                                       {}});
  return {Kind::Run};
}

void TicketTable::recordOutcome(const TicketId &Id, TicketState State) {
  auto At = m_Records.find(Id);
  if (At != m_Records.end() && At->second.m_State == TicketState::Running)
    At->second.m_State = State;
}

void TicketTable::keepAnswer(const TicketId &Id, StoredAnswer Answer) {
  auto At = m_Records.find(Id);
  if (At != m_Records.end())
    At->second.m_Answer = std::move(Answer);
}

void TicketTable::prune(TimePoint Now) {
  std::erase_if(m_Records, [&](const auto &Item) {
    const TicketRecord &Record = Item.second;
    auto Clock = clockOf(Record.m_Owner, Now);
    // Without a clock, the record's incarnation is still being handed over.
    return Record.m_State != TicketState::Running && Clock &&
           *Clock > Record.m_IssuedAt + m_LifeSeconds + 1;
  });
}

TicketHandover TicketTable::handOver(TimePoint Now) {
  TicketHandover Handover;
  Handover.m_Incarnations.push_back({m_Self, clock(Now)});
  for (const auto &[Owner, Entry] : m_Inherited)
    Handover.m_Incarnations.push_back({Owner, *clockOf(Owner, Now)});
  m_HandedOver = true;
  for (auto &[Id, Record] : m_Records)
    Handover.m_Records.push_back(std::move(Record));
  m_Records.clear();
  return Handover;
}

void TicketTable::takeOver(TicketHandover Batch, TimePoint Now) {
  for (TicketRecord &Record : Batch.m_Records) {
    if (Record.m_State == TicketState::Running)
      Record.m_State = TicketState::Unknown;
    m_Records.emplace(Record.m_Id, std::move(Record));
  }
  for (const OwnedIncarnation &Owned : Batch.m_Incarnations)
    m_Inherited.insert_or_assign(Owned.m_Owner, Inherited{Owned.m_Clock, Now});
}

} // namespace mustardspoke
