/// \file
/// Metrics through Boost.Histogram.
#include "observe/metrics.h"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace mustardspoke {
namespace {

namespace bh = boost::histogram;

constexpr unsigned Buckets = 32;
constexpr double ShortestSeconds = 0.0005;
constexpr double LongestSeconds = 600;
constexpr double MostUnits = 100000;
constexpr std::size_t MostTenants = 64; ///< Further ones count as "other".

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(std::declval<LogAxis>()));

Histogram makeSeconds() {
  return bh::make_histogram(LogAxis(Buckets, ShortestSeconds, LongestSeconds));
}

Histogram makeUnits() {
  return bh::make_histogram(LogAxis(Buckets, 1, MostUnits));
}

/// A histogram together with the sum that the text format wants.
struct Series {
  Histogram m_Counts;
  double m_Sum = 0;

  explicit Series(Histogram Counts) : m_Counts(std::move(Counts)) {}
  void add(double Value) {
    m_Counts(Value);
    m_Sum += Value;
  }
};

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

void expose(std::ostream &Out, const std::string &Name,
            const std::string &Labels, const Series &Of) {
  const std::string Comma = Labels.empty() ? "" : ",";
  double Total = 0;
  for (auto &&Bin : bh::indexed(Of.m_Counts, bh::coverage::all)) {
    Total += *Bin;
    double Upper = Bin.bin().upper();
    if (Bin.index() < int(Buckets))
      Out << Name << "_bucket{" << Labels << Comma << "le=\"" << Upper << "\"} "
          << Total << "\n";
  }
  Out << Name << "_bucket{" << Labels << Comma << "le=\"+Inf\"} " << Total
      << "\n";
  Out << Name << "_sum{" << Labels << "} " << Of.m_Sum << "\n";
  Out << Name << "_count{" << Labels << "} " << Total << "\n";
}

struct CallKey {
  std::string m_Service;
  std::string m_Tenant;
  auto operator<=>(const CallKey &) const = default;
};

struct CallSeries {
  Series m_Latency{makeSeconds()};
  Series m_Waited{makeSeconds()};
};

} // namespace

struct Metrics::Impl {
  mutable std::mutex m_Mutex;
  std::map<CallKey, CallSeries> m_Calls;
  std::map<std::pair<std::string, std::string>, std::uint64_t> m_Answers;
  std::map<std::string, Series> m_Headroom;
  Series m_Drain{makeSeconds()};
};

Metrics::Metrics() : m_Impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::recordCall(const CallSample &Sample) {
  std::scoped_lock Lock(m_Impl->m_Mutex);
  CallKey Key{Sample.m_Service.str(), Sample.m_Tenant.str()};
  if (!m_Impl->m_Calls.contains(Key) && m_Impl->m_Calls.size() >= MostTenants)
    Key.m_Tenant = "other";
  CallSeries &Into = m_Impl->m_Calls[Key];
  Into.m_Latency.add(seconds(Sample.m_Latency));
  Into.m_Waited.add(seconds(Sample.m_Waited));
  ++m_Impl->m_Answers[{std::string(errorInfo(Sample.m_Error).m_Name),
                       std::string(outcomeName(Sample.m_Outcome))}];
}

void Metrics::recordHeadroom(const ServiceName &Of, std::uint32_t Units) {
  std::scoped_lock Lock(m_Impl->m_Mutex);
  m_Impl->m_Headroom.try_emplace(Of.str(), makeUnits())
      .first->second.add(Units);
}

void Metrics::recordDrain(Duration Took) {
  std::scoped_lock Lock(m_Impl->m_Mutex);
  m_Impl->m_Drain.add(seconds(Took));
}

std::string Metrics::exposition() const {
  std::scoped_lock Lock(m_Impl->m_Mutex);
  std::ostringstream Out;
  for (const auto &[Key, Of] : m_Impl->m_Calls) {
    std::string Labels =
        "service=\"" + Key.m_Service + "\",tenant=\"" + Key.m_Tenant + "\"";
    expose(Out, "mustardspoke_call_seconds", Labels, Of.m_Latency);
    expose(Out, "mustardspoke_queue_seconds", Labels, Of.m_Waited);
  }
  for (const auto &[Key, Count] : m_Impl->m_Answers)
    Out << "mustardspoke_answers_total{error=\"" << Key.first << "\",outcome=\""
        << Key.second << "\"} " << Count << "\n";
  for (const auto &[Service, Of] : m_Impl->m_Headroom)
    expose(Out, "mustardspoke_headroom_units", "service=\"" + Service + "\"",
           Of);
  expose(Out, "mustardspoke_drain_seconds", "", m_Impl->m_Drain);
  return Out.str();
}

} // namespace mustardspoke
