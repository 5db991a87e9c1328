/// \file
/// Flattening of nested address blocks into ranges, and address look-up.
#include "core/prefixes.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace mustardspoke {
namespace {

struct Range {
  std::uint64_t m_First;
  std::uint64_t m_PastEnd;
  std::uint16_t m_RegionIndex;
};

/// Converts sorted, properly nested blocks to disjoint ranges; the innermost
/// block of an address determines its region.
class Flattener {
public:
  Flattener(std::vector<std::uint32_t> &Starts,
            std::vector<std::uint16_t> &RegionIndices, std::uint16_t Default)
      : m_Starts(Starts), m_RegionIndices(RegionIndices) {
    m_OpenBlocks.push_back({0, std::uint64_t(1) << 32, Default});
    emit(0, Default);
  }

  void add(const Range &Block) {
    closeUpTo(Block.m_First);
    emit(Block.m_First, Block.m_RegionIndex);
    m_OpenBlocks.push_back(Block);
  }

  void closeUpTo(std::uint64_t Address) {
    while (m_OpenBlocks.size() > 1 &&
           m_OpenBlocks.back().m_PastEnd <= Address) {
      std::uint64_t PastEnd = m_OpenBlocks.back().m_PastEnd;
      m_OpenBlocks.pop_back();
      if (PastEnd < (std::uint64_t(1) << 32))
        emit(PastEnd, m_OpenBlocks.back().m_RegionIndex);
    }
  }

private:
  void emit(std::uint64_t Start, std::uint16_t RegionIndex) {
    if (!m_Starts.empty() && m_Starts.back() == Start) {
      m_RegionIndices.back() = RegionIndex;
      return;
    }
    if (!m_RegionIndices.empty() && m_RegionIndices.back() == RegionIndex)
      return;
    m_Starts.push_back(std::uint32_t(Start));
    m_RegionIndices.push_back(RegionIndex);
  }

  std::vector<std::uint32_t> &m_Starts;
  std::vector<std::uint16_t> &m_RegionIndices;
  std::vector<Range> m_OpenBlocks;
};

} // namespace

PrefixTable::PrefixTable(std::span<const ClientBlock> Blocks) {
  std::map<RegionName, std::uint16_t> Index;
  std::vector<Range> Ranges;
  Ranges.reserve(Blocks.size());
  for (const ClientBlock &Block : Blocks) {
    auto [At, IsNew] =
        Index.try_emplace(Block.m_Region, std::uint16_t(m_Regions.size()));
    if (IsNew)
      m_Regions.push_back(Block.m_Region);
    std::uint64_t Size = std::uint64_t(1) << (32 - Block.m_PrefixLength);
    std::uint64_t First = Block.m_Prefix & ~(Size - 1);
    Ranges.push_back({First, First + Size, At->second});
  }
  std::ranges::sort(Ranges, [](const Range &A, const Range &B) {
    return A.m_First != B.m_First ? A.m_First < B.m_First
                                  : A.m_PastEnd > B.m_PastEnd;
  });
  Flattener Flat(m_Starts, m_RegionIndices, NoRegion);
  for (const Range &R : Ranges)
    Flat.add(R);
  Flat.closeUpTo(std::uint64_t(1) << 32);
  m_Starts.shrink_to_fit();
  m_RegionIndices.shrink_to_fit();
}

const RegionName *PrefixTable::find(std::uint32_t Address) const noexcept {
  auto At = std::ranges::upper_bound(m_Starts, Address);
  if (At == m_Starts.begin())
    return nullptr;
  std::uint16_t RegionIndex =
      m_RegionIndices[std::size_t(At - m_Starts.begin()) - 1];
  return RegionIndex == NoRegion ? nullptr : &m_Regions[RegionIndex];
}

std::size_t PrefixTable::memoryBytes() const noexcept {
  return m_Starts.capacity() * sizeof(std::uint32_t) +
         m_RegionIndices.capacity() * sizeof(std::uint16_t);
}

std::optional<std::uint32_t> parseIpv4(std::string_view Text) {
  std::uint32_t Address = 0;
  for (int I = 0; I < 4; ++I) {
    unsigned Part = 0;
    const char *End = Text.data() + Text.size();
    auto [Stop, Error] = std::from_chars(Text.data(), End, Part);
    if (Error != std::errc() || Part > 255)
      return std::nullopt;
    Address = Address << 8 | Part;
    Text.remove_prefix(std::size_t(Stop - Text.data()));
    if (I == 3)
      break;
    if (Text.empty() || Text.front() != '.')
      return std::nullopt;
    Text.remove_prefix(1);
  }
  return Text.empty() ? std::optional(Address) : std::nullopt;
}

} // namespace mustardspoke
