/// \file
/// Merge, check, store, and one conditional write.
#include "entry/bundle_accept.h"

namespace mustardspoke {
namespace {

constexpr int MostTries = 8;

/// The head row with the revision that a commit has to expect.
struct HeadState {
  StoreStatus m_Status = StoreStatus::Unknown;
  std::uint64_t m_Revision = 0;
  HeadRow m_Row;
};

HeadState readHead(const PlatformClient &Platform) {
  HeadState Result;
  StoreReply Reply = Platform.execute({0, ScanRequest{}});
  Result.m_Status = Reply.m_Status;
  for (const StoredRow &Stored : Reply.m_Rows) {
    if (const auto *Head = std::get_if<HeadRow>(&Stored.m_Row)) {
      Result.m_Revision = Stored.m_Revision;
      Result.m_Row = *Head;
    }
  }
  return Result;
}

AcceptResult failed(ErrorKind Error, ValidationErrors Found = {}) {
  return {Error, 0, std::move(Found)};
}

/// Whether every section stands in \p Whole exactly as it was submitted.
bool contains(BundleDocument &Whole, const std::vector<Section> &Sections) {
  for (const Section &New : Sections) {
    const Section *Present = Whole.findSection(New.m_Team);
    if (!Present || Present->m_Revision != New.m_Revision ||
        Present->m_Text != New.m_Text)
      return false;
  }
  return true;
}

/// Puts \p Sections into \p Whole; an older or equal revision is a conflict.
ValidationErrors merge(BundleDocument &Whole,
                       const std::vector<Section> &Sections) {
  ValidationErrors Found;
  for (const Section &New : Sections) {
    Section *Present = Whole.findSection(New.m_Team);
    if (!Present) {
      Whole.m_Sections.push_back(New);
      continue;
    }
    if (New.m_Revision <= Present->m_Revision)
      Found.push_back({"sections." + New.m_Team.str() + ".revision",
                       std::to_string(New.m_Revision),
                       "more than " + std::to_string(Present->m_Revision) +
                           ", which is accepted"});
    *Present = New;
  }
  return Found;
}

} // namespace

AcceptResult acceptSections(Shared &Core, const PlatformClient &Platform,
                            const std::vector<Section> &Sections) {
  bool WasUnsure = false;
  for (int Try = 0; Try < MostTries; ++Try) {
    if (!Core.access()->mayAccept(monotonicNow()))
      return failed(ErrorKind::BundleNoMajority);
    HeadState Head = readHead(Platform);
    if (Head.m_Status != StoreStatus::Ok) {
      if (WasUnsure)
        return failed(ErrorKind::StoreOutcomeUnknown);
      return failed(ErrorKind::StoreUnavailable);
    }
    BundleDocument Whole;
    if (Head.m_Row.m_Version > 0) {
      auto Text = Platform.getObject(Head.m_Row.m_Object);
      ValidationErrors Unread;
      if (Text)
        Whole = parseDocument(*Text, Unread);
      if (!Text || !Unread.empty())
        return failed(ErrorKind::StoreUnavailable);
    }
    // Also the answer to a repeat of a request that was accepted before.
    if (contains(Whole, Sections))
      return {ErrorKind::None, Head.m_Row.m_Version, {}};
    ValidationErrors Conflicts = merge(Whole, Sections);
    if (!Conflicts.empty())
      return failed(ErrorKind::BundleConflict, std::move(Conflicts));
    Whole.m_Version = Head.m_Row.m_Version + 1;
    ValidationErrors Found;
    (void)readBundle(Whole, Core.settings().m_RootKey, Found);
    if (!Found.empty())
      return failed(ErrorKind::BundleRefused, std::move(Found));

    std::string Text = Whole.toText();
    std::string Object =
        "bundle-" + std::to_string(Whole.m_Version) + "-" + documentHash(Text);
    if (!Platform.putObject(Object, Text))
      return failed(ErrorKind::StoreUnavailable);
    HeadRow Next{Whole.m_Version, Object};
    StoreReply Reply = Platform.execute(
        {0, CommitRequest{{RowWrite{HeadKey, Head.m_Revision, Next}}}});
    if (Reply.m_Status == StoreStatus::Ok) {
      Core.adoptDocument(Text, "operator");
      return {ErrorKind::None, Whole.m_Version, {}};
    }
    if (Reply.m_Status == StoreStatus::NotApplied)
      return failed(ErrorKind::StoreUnavailable);
    WasUnsure = WasUnsure || Reply.m_Status == StoreStatus::Unknown;
  }
  return failed(WasUnsure ? ErrorKind::StoreOutcomeUnknown
                          : ErrorKind::BundleConflict);
}

} // namespace mustardspoke
