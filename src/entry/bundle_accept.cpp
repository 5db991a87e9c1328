/// \file
/// Merges submitted sections into the newest bundle and commits the result.
#include "entry/bundle_accept.h"

namespace mustardspoke {
namespace {

constexpr int MaxTries = 8;

/// The row that names the current bundle, and the revision that a commit has to
/// expect.
struct HeadState {
  StoreStatus m_Status = StoreStatus::Unknown;
  std::uint64_t m_Revision = 0;
  HeadRow m_Row;
};

HeadState readHead(const PlatformClient &Platform) {
  HeadState State;
  StoreReply Reply = Platform.execute({0, ScanRequest{}});
  State.m_Status = Reply.m_Status;
  for (const StoredRow &Row : Reply.m_Rows) {
    if (const auto *Current = std::get_if<HeadRow>(&Row.m_Row)) {
      State.m_Revision = Row.m_Revision;
      State.m_Row = *Current;
    }
  }
  return State;
}

AcceptResult failed(ErrorKind Error, ValidationErrors Problems = {}) {
  return {Error, 0, std::move(Problems)};
}

/// Whether \p Document already contains every section exactly as submitted.
bool containsAll(BundleDocument &Document,
                 const std::vector<Section> &Sections) {
  for (const Section &Submitted : Sections) {
    const Section *Present = Document.findSection(Submitted.m_Team);
    if (!Present || Present->m_Revision != Submitted.m_Revision ||
        Present->m_Text != Submitted.m_Text)
      return false;
  }
  return true;
}

/// Inserts \p Sections into \p Document, replacing older revisions. A revision
/// that isn't greater than the accepted one is a conflict.
ValidationErrors merge(BundleDocument &Document,
                       const std::vector<Section> &Sections) {
  ValidationErrors Conflicts;
  for (const Section &Submitted : Sections) {
    Section *Present = Document.findSection(Submitted.m_Team);
    if (!Present) {
      Document.m_Sections.push_back(Submitted);
      continue;
    }
    if (Submitted.m_Revision <= Present->m_Revision)
      Conflicts.push_back({"sections." + Submitted.m_Team.str() + ".revision",
                           std::to_string(Submitted.m_Revision),
                           "greater than " +
                               std::to_string(Present->m_Revision) +
                               ", the accepted revision"});
    *Present = Submitted;
  }
  return Conflicts;
}

} // namespace

AcceptResult acceptSections(SharedNode &Core, const PlatformClient &Platform,
                            const std::vector<Section> &Sections) {
  bool WasOutcomeUnknown = false;
  for (int Attempt = 0; Attempt < MaxTries; ++Attempt) {
    if (!Core.access()->mayAccept(monotonicNow()))
      return failed(ErrorKind::BundleNoMajority);
    HeadState Head = readHead(Platform);
    if (Head.m_Status != StoreStatus::Ok) {
      if (WasOutcomeUnknown)
        return failed(ErrorKind::StoreOutcomeUnknown);
      return failed(ErrorKind::StoreUnavailable);
    }
    BundleDocument Document;
    if (Head.m_Row.m_Version > 0) {
      auto Text = Platform.getObject(Head.m_Row.m_Object);
      ValidationErrors ParseErrors;
      if (Text)
        Document = parseDocument(*Text, ParseErrors);
      if (!Text || !ParseErrors.empty())
        return failed(ErrorKind::StoreUnavailable);
    }
    // A repeated request whose sections were accepted before succeeds here.
    if (containsAll(Document, Sections))
      return {ErrorKind::None, Head.m_Row.m_Version, {}};
    ValidationErrors Conflicts = merge(Document, Sections);
    if (!Conflicts.empty())
      return failed(ErrorKind::BundleConflict, std::move(Conflicts));
    Document.m_Version = Head.m_Row.m_Version + 1;
    ValidationErrors Found;
    (void)readBundle(Document, Core.settings().m_RootKey, Found);
    if (!Found.empty())
      return failed(ErrorKind::BundleRefused, std::move(Found));

    std::string Text = Document.toText();
    std::string Object = "bundle-" + std::to_string(Document.m_Version) + "-" +
                         documentHash(Text);
    if (!Platform.putObject(Object, Text))
      return failed(ErrorKind::StoreUnavailable);
    HeadRow NewHead{Document.m_Version, Object};
    StoreReply Reply = Platform.execute(
        {0, CommitRequest{{RowWrite{HeadKey, Head.m_Revision, NewHead}}}});
    if (Reply.m_Status == StoreStatus::Ok) {
      Core.adoptDocument(Text, "operator");
      return {ErrorKind::None, Document.m_Version, {}};
    }
    if (Reply.m_Status == StoreStatus::NotApplied)
      return failed(ErrorKind::StoreUnavailable);
    WasOutcomeUnknown =
        WasOutcomeUnknown || Reply.m_Status == StoreStatus::Unknown;
  }
  return failed(WasOutcomeUnknown ? ErrorKind::StoreOutcomeUnknown
                                  : ErrorKind::BundleConflict);
}

} // namespace mustardspoke
