/// \file
/// Tickets that make non-repeatable calls run at most once.
#pragma once

#include "core/errors.h"
#include "core/ids.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardspoke {

/// \brief 128 random bits that identify one ticket.
struct TicketId {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;

  friend auto operator<=>(const TicketId &, const TicketId &) = default;
};

/// \brief Permission to run one call once, checked by the owning entry VM.
///
/// \details m_IssuedAt is in seconds of the owner's monotonic clock, which the
/// issuer knows from the owner's heartbeats. If that knowledge is old, the
/// ticket expires early, never late.
struct Ticket {
  TicketId m_Id;
  ServiceName m_Service;
  VmIncarnation m_Owner;
  std::uint64_t m_IssuedAt = 0;

  /// \brief Text form: `1.<id>.<service>.<vm>.<incarnation>.<issued>`.
  [[nodiscard]] std::string toText() const;

  /// \returns std::nullopt if \p Text isn't a ticket.
  [[nodiscard]] static std::optional<Ticket> parse(std::string_view Text);
};

/// \brief State of a ticket's call, as known to the owner.
enum class TicketState : std::uint8_t { Running, Done, NotRun, Unknown };

/// \brief The upstream's answer, stored to replay it on a repeated call.
struct StoredAnswer {
  unsigned m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  bool m_Complete = false; ///< False if the body was too long to store.
};

/// \brief The owner's record of one claimed ticket.
struct TicketRecord {
  TicketId m_Id;
  /// As issued; another VM than the current owner after a handover.
  VmIncarnation m_Owner;
  std::uint64_t m_IssuedAt = 0;
  TicketState m_State = TicketState::Running;
  StoredAnswer m_Answer;
};

/// \brief An incarnation whose tickets a VM owns now, and its clock.
struct OwnedIncarnation {
  VmIncarnation m_Owner;     ///< As named in its tickets.
  std::uint64_t m_Clock = 0; ///< Seconds; see TicketTable::clock().
};

/// \brief Tickets that a leaving VM hands over to its successor.
///
/// \details May be sent in batches. Only the last one contains the
/// incarnations, because the owner of an incarnation treats a ticket without a
/// record as unused.
struct TicketHandover {
  std::vector<OwnedIncarnation> m_Incarnations;
  std::vector<TicketRecord> m_Records;
};

/// \brief What to do with a call that presents a ticket.
struct TicketVerdict {
  enum class Kind : std::uint8_t { Run, Replay, Refuse } m_Kind;
  ErrorKind m_Error = ErrorKind::None;
  const TicketRecord *m_Record =
      nullptr; ///< For Replay; valid until the table changes.
};

class TicketTable;

/// \brief Decides whether this VM owns the tickets issued for \p Owner.
using OwnerRule = bool (*)(const TicketTable &Table,
                           const VmIncarnation &Owner);

/// \brief Checks \p Presented at its owner and claims it if it may run.
using ClaimRule = TicketVerdict (*)(TicketTable &Table, const Ticket &Presented,
                                    TimePoint Now);

/// \brief The tickets that this VM owns.
///
/// Invariants: a ticket is claimed at most once; once its record is pruned, it
/// is refused because of its age; a record never returns to the state Running.
class TicketTable {
public:
  TicketTable(VmIncarnation Self, TimePoint Start, std::uint64_t LifeSeconds,
              std::size_t MaxRecords)
      : m_Self(std::move(Self)), m_Start(Start), m_LifeSeconds(LifeSeconds),
        m_MaxRecords(MaxRecords) {}

  /// \brief Seconds since the process started, plus one; sent in heartbeats.
  [[nodiscard]] std::uint64_t clock(TimePoint Now) const noexcept;

  /// \brief The default OwnerRule: this incarnation, or one it took over from.
  [[nodiscard]] static bool
  ownsIncarnation(const TicketTable &Table,
                  const VmIncarnation &Owner) noexcept;

  /// \brief The default ClaimRule: at most one claim in a ticket's lifetime.
  [[nodiscard]] static TicketVerdict
  claimOnce(TicketTable &Table, const Ticket &Presented, TimePoint Now);

  /// \brief Records the outcome of a claimed ticket's call.
  void recordOutcome(const TicketId &Id, TicketState State);

  /// \brief Stores the answer to a finished call for repeated calls.
  void keepAnswer(const TicketId &Id, StoredAnswer Answer);

  /// \brief Deletes the records of expired tickets.
  void prune(TimePoint Now);

  /// \brief Gives up all tickets and returns them for the successor.
  ///
  /// \details This VM gives them up first, so a lost message leaves tickets
  /// without an owner, never with two owners.
  [[nodiscard]] TicketHandover handOver(TimePoint Now);

  /// \brief Adopts a batch of another VM's tickets.
  void takeOver(TicketHandover Batch, TimePoint Now);

  [[nodiscard]] bool handedOver() const noexcept { return m_HandedOver; }
  [[nodiscard]] std::size_t size() const noexcept { return m_Records.size(); }

private:
  struct Inherited {
    std::uint64_t m_Clock;
    TimePoint m_TakenOverAt;
  };

  [[nodiscard]] std::optional<std::uint64_t>
  clockOf(const VmIncarnation &Owner, TimePoint Now) const noexcept;

  VmIncarnation m_Self;
  TimePoint m_Start;
  std::uint64_t m_LifeSeconds;
  std::size_t m_MaxRecords;
  bool m_HandedOver = false;
  std::map<TicketId, TicketRecord> m_Records;
  std::map<VmIncarnation, Inherited> m_Inherited;
};

} // namespace mustardspoke
