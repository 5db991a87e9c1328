/// \file
/// Metrics with Boost.Histogram.
#include "observe/metrics.h"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace mustardspoke {
namespace {

namespace bh = boost::histogram;

constexpr unsigned BucketCount = 32;
constexpr double MinSeconds = 0.0005;
constexpr double MaxSeconds = 600;
constexpr double MaxUnits = 100000;
/// Limit of the pairs of service and tenant with series of their own; calls of
/// further pairs are counted under the tenant "other".
constexpr std::size_t MaxCallSeries = 64;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(std::declval<LogAxis>()));

Histogram makeSecondsHistogram() {
  return bh::make_histogram(LogAxis(BucketCount, MinSeconds, MaxSeconds));
}

Histogram makeUnitsHistogram() {
  return bh::make_histogram(LogAxis(BucketCount, 1, MaxUnits));
}

/// A histogram and the sum of its values, which the text format requires.
struct Series {
  Histogram m_Histogram;
  double m_Sum = 0;

  explicit Series(Histogram Counts) : m_Histogram(std::move(Counts)) {}
  void add(double Value) {
    m_Histogram(Value);
    m_Sum += Value;
  }
};

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

void writeSeries(std::ostream &Out, const std::string &Name,
                 const std::string &Labels, const Series &Values) {
  const std::string Comma = Labels.empty() ? "" : ",";
  double Count = 0;
  for (auto &&Bin : bh::indexed(Values.m_Histogram, bh::coverage::all)) {
    Count += *Bin;
    double UpperBound = Bin.bin().upper();
    if (Bin.index() < int(BucketCount))
      Out << Name << "_bucket{" << Labels << Comma << "le=\"" << UpperBound
          << "\"} " << Count << "\n";
  }
  Out << Name << "_bucket{" << Labels << Comma << "le=\"+Inf\"} " << Count
      << "\n";
  Out << Name << "_sum{" << Labels << "} " << Values.m_Sum << "\n";
  Out << Name << "_count{" << Labels << "} " << Count << "\n";
}

struct CallKey {
  std::string m_Service;
  std::string m_Tenant;
  auto operator<=>(const CallKey &) const = default;
};

struct CallSeries {
  Series m_Latency{makeSecondsHistogram()};
  Series m_QueueTime{makeSecondsHistogram()};
};

} // namespace

struct Metrics::Impl {
  mutable std::mutex m_Mutex;
  std::map<CallKey, CallSeries> m_Calls;
  std::map<std::pair<std::string, std::string>, std::uint64_t> m_Answers;
  std::map<std::string, Series> m_Headroom;
  Series m_DrainTime{makeSecondsHistogram()};
};

Metrics::Metrics() : m_Impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::recordCall(const CallSample &Sample) {
  std::scoped_lock Lock(m_Impl->m_Mutex);
  CallKey Key{Sample.m_Service.str(), Sample.m_Tenant.str()};
  if (!m_Impl->m_Calls.contains(Key) && m_Impl->m_Calls.size() >= MaxCallSeries)
    Key.m_Tenant = "other";
  CallSeries &Target = m_Impl->m_Calls[Key];
  Target.m_Latency.add(seconds(Sample.m_Latency));
  Target.m_QueueTime.add(seconds(Sample.m_QueueTime));
  ++m_Impl->m_Answers[{std::string(errorInfo(Sample.m_Error).m_Name),
                       std::string(outcomeName(Sample.m_Outcome))}];
}

void Metrics::recordHeadroom(const ServiceName &Service, std::uint32_t Units) {
  std::scoped_lock Lock(m_Impl->m_Mutex);
  m_Impl->m_Headroom.try_emplace(Service.str(), makeUnitsHistogram())
      .first->second.add(Units);
}

void Metrics::recordDrain(Duration DrainTime) {
  std::scoped_lock Lock(m_Impl->m_Mutex);
  m_Impl->m_DrainTime.add(seconds(DrainTime));
}

std::string Metrics::exposition() const {
  std::scoped_lock Lock(m_Impl->m_Mutex);
  std::ostringstream Out;
  for (const auto &[Key, Values] : m_Impl->m_Calls) {
    std::string Labels =
        "service=\"" + Key.m_Service + "\",tenant=\"" + Key.m_Tenant + "\"";
    writeSeries(Out, "mustardspoke_call_seconds", Labels, Values.m_Latency);
    writeSeries(Out, "mustardspoke_queue_seconds", Labels, Values.m_QueueTime);
  }
  for (const auto &[Key, Count] : m_Impl->m_Answers)
    Out << "mustardspoke_answers_total{error=\"" << Key.first << "\",outcome=\""
        << Key.second << "\"} " << Count << "\n";
  for (const auto &[Service, Values] : m_Impl->m_Headroom)
    writeSeries(Out, "mustardspoke_headroom_units",
                "service=\"" + Service + "\"", Values);
  writeSeries(Out, "mustardspoke_drain_seconds", "", m_Impl->m_DrainTime);
  return Out.str();
}

} // namespace mustardspoke
