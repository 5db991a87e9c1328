/// \file
/// Log lines with odd values.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "observe/line_limit.h"
#include "observe/log.h"

using namespace mustardspoke;

BOOST_AUTO_TEST_SUITE(Log)

// Guards against a process that ends as it logs a name that another writer
// chose.
BOOST_AUTO_TEST_CASE(OddBytesDoNotEndTheProcess) {
  for (const std::string &Odd :
       {std::string("\xff\xfe"), std::string("a\0b", 3), std::string("\xc3"),
        std::string("\xed\xa0\x80"), std::string(1 << 20, '\x80')})
    BOOST_CHECK_NO_THROW(
        logEvent(LogLevel::Info, "odd", {{"upstream", Odd}, {"cause", Odd}}));
}

BOOST_AUTO_TEST_CASE(LongValuesAreCut) {
  BOOST_TEST(boundedLogValue("short") == "short");
  std::string Cut = boundedLogValue(std::string(100000, 'x'));
  BOOST_TEST(Cut.size() < 2000U);
  BOOST_TEST(Cut.ends_with("(100000 bytes)"));
}

// Guards against a VM without processor time that formats lines which are left
// out, as its callers multiply.
BOOST_AUTO_TEST_CASE(MostLinesOfABurstAreDroppedAndCounted) {
  constexpr unsigned RequestsPerSecond = 1200;
  constexpr unsigned Seconds = 6;
  LineLimit::Clock::time_point Now{};
  LineLimit Limit(Now);
  std::uint64_t Admitted = 0;
  for (unsigned I = 0; I < RequestsPerSecond * Seconds; ++I) {
    Now += std::chrono::microseconds(1000000 / RequestsPerSecond);
    Admitted += Limit.admit(Now) ? 1 : 0;
  }
  BOOST_TEST(double(Admitted) <=
             LineLimit::BurstLines + LineLimit::LinesPerSecond * Seconds);
  BOOST_TEST(double(Admitted) >= LineLimit::LinesPerSecond * Seconds);
  BOOST_TEST(Limit.takeDropped() == RequestsPerSecond * Seconds - Admitted);
  BOOST_TEST(Limit.takeDropped() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
