/// \file
/// Reading tables of the store that take several pages.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/store_rig.h"

#include <algorithm>
#include <rapidcheck.h>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using test::StoreRig;

BOOST_AUTO_TEST_SUITE(StorePaging)

// Guards against reads that never end, or always fail, because of one row of
// another writer: its key, at the end of a page, was sent as a part of the
// query without being encoded.
BOOST_AUTO_TEST_CASE(KeysOfAnyBytesMayEndAPage) {
  StoreRig R;
  R.m_StandIn.setPageSize(1);
  std::vector<std::string> Keys{"",         "a",      "a b",      "a#b",
                                "a%00b",    "a%zz",   "a&from=",  "a+b",
                                "a/b?c",    "a\x01z", "a\r\n: x", "b=c",
                                "\xc3\xa9", "~"};
  std::ranges::sort(Keys);
  for (const std::string &Key : Keys)
    R.m_StandIn.put("t", Key, "1");
  StoreResult All = R.run(R.m_Store->read("t"));
  BOOST_TEST((All.m_CallStatus == StoreCallStatus::Done));
  BOOST_TEST(All.m_Rows.size() == Keys.size());
  for (std::size_t I = 0; I < All.m_Rows.size(); ++I)
    BOOST_TEST(All.m_Rows[I].m_Key == Keys[I]);
}

BOOST_AUTO_TEST_CASE(QueryValuesRoundTrip) {
  BOOST_TEST(rc::check([](const std::string &Value) {
    std::string Target = "/x?a=1&v=" + encodeQueryValue(Value) + "&w=2";
    RC_ASSERT(queryValue(Target, "v") == Value);
    RC_ASSERT(queryValue(Target, "w") == "2");
  }));
}

BOOST_AUTO_TEST_SUITE_END()
