/// \file
/// Calls through all processes from caller to upstream, and their errors.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/test_cluster.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace mustardspoke;
using namespace mustardspoke::test;

namespace {

/// Sends raw bytes and returns the first bytes of the response.
std::string sendRaw(const std::string &Address, const std::string &Bytes) {
  std::string Ip;
  unsigned short Port = 0;
  BOOST_REQUIRE(splitAddress(Address, Ip, Port));
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &SocketAddress.sin_addr);
  int Fd = socket(AF_INET, SOCK_STREAM, 0);
  timeval Timeout{1, 0};
  setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  BOOST_REQUIRE(connect(Fd, reinterpret_cast<sockaddr *>(&SocketAddress),
                        sizeof(SocketAddress)) == 0);
  (void)send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  char Buffer[512];
  ssize_t Count = recv(Fd, Buffer, sizeof(Buffer), 0);
  close(Fd);
  return {Buffer, Count > 0 ? std::size_t(Count) : 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Path)

BOOST_AUTO_TEST_CASE(CallsOfEachKindAreServed) {
  TestCluster Cluster({.m_PortBase = 26000});
  Cluster.acceptFirstBundle();
  CallerResult Stock = Cluster.call(0, "stock-lookup", "/run/hopper-1");
  BOOST_TEST(Stock.m_Status == 200U);
  BOOST_TEST(Stock.m_Outcome == "done");
  BOOST_TEST(Stock.m_BodyStart == "{\"ran\":\"hopper-1\"}");

  CallerResult Order = Cluster.call(1, "order-booking", "/run/order-1", "{}");
  BOOST_TEST(Order.m_Outcome == "done");
  BOOST_TEST(Cluster.runCount("order-1") == 1U);

  CallerResult Sheet = Cluster.call(0, "load-sheets", "/bytes/8388608");
  BOOST_TEST(Sheet.m_BodyBytes == 8388608U);
  BOOST_TEST(Sheet.m_IsComplete);

  Json Traces = Cluster.operatorGet(0, "/explain");
  BOOST_TEST(Traces.find("calls") != nullptr);
}

BOOST_AUTO_TEST_CASE(ErrorsNameTheirKindAndOutcome) {
  TestCluster Cluster({.m_PortBase = 26100});
  Cluster.acceptFirstBundle();
  CallerResult Unknown =
      sendCall(Cluster.callerAddress(0), "/call/nothing/x", "", "");
  BOOST_TEST(Unknown.m_Status == 404U);
  BOOST_TEST(Unknown.m_Error == "unknown-service");
  BOOST_TEST(Unknown.m_Outcome == "not-run");
  CallerResult NoTicket =
      sendCall(Cluster.callerAddress(0), "/call/order-booking/run/x", "", "{}");
  BOOST_TEST(NoTicket.m_Error == "ticket-required");
  CallerResult Broken = sendCall(Cluster.callerAddress(0),
                                 "/call/order-booking/run/x", "junk", "{}");
  BOOST_TEST(Broken.m_Error == "ticket-invalid");
  CallerResult Long =
      sendCall(Cluster.callerAddress(0), "/call/stock-lookup/run/x", "",
               std::string(300000, 'x'));
  BOOST_TEST(Long.m_Error == "body-too-large");
  BOOST_TEST(Cluster.runCount("x") == 0U);
}

BOOST_AUTO_TEST_CASE(MalformedBytesAreRefusedAndHarmless) {
  TestCluster Cluster({.m_PortBase = 26200, .m_VmCount = 1});
  Cluster.acceptFirstBundle();
  for (const char *Bad :
       {"\r\n\r\n", "GET\r\n\r\n", "\x16\x03\x01\x02\x00\x01",
        "GET / HTTP/9\r\n",
        "POST /call/stock-lookup HTTP/1.1\r\nContent-Length: x\r\n\r\n"})
    (void)sendRaw(Cluster.callerAddress(0), Bad);
  std::string Huge = "GET / HTTP/1.1\r\nX: " + std::string(1 << 20, 'y');
  (void)sendRaw(Cluster.callerAddress(0), Huge);
  BOOST_TEST(Cluster.call(0, "stock-lookup", "/run/after").m_Outcome == "done");
}

BOOST_AUTO_TEST_CASE(OperatorsNeedTheToken) {
  TestCluster Cluster({.m_PortBase = 26300, .m_VmCount = 1});
  Cluster.acceptFirstBundle();
  HttpRequest Request{"GET", "/status"};
  Request.m_Authorization = "Bearer wrong";
  HttpExchange Refused = httpExchange(Cluster.addressOf(12), Request, 5000);
  BOOST_TEST(Refused.m_Response.m_Status == 401U);
  HttpExchange WithoutToken =
      httpExchange(Cluster.addressOf(12), {"GET", "/metrics"}, 5000);
  BOOST_TEST(WithoutToken.m_Response.m_Body.find("mustardspoke_calls_total") !=
             std::string::npos);
  Section Altered = Cluster.signedSection("stock", 2);
  Altered.m_Text += " ";
  HttpResponse Unsigned = Cluster.acceptSections(0, {Altered});
  BOOST_TEST(Unsigned.m_Status == 422U);
  BOOST_TEST(Unsigned.m_Body.find("sections.stock.signature") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(LongDownloadKeepsMemoryFlat) {
  TestCluster Cluster({.m_PortBase = 26400, .m_VmCount = 1});
  Cluster.acceptFirstBundle();
  constexpr std::uint64_t GiB = 1024ULL * 1024 * 1024;
  CallerResult Sheet = Cluster.call(0, "load-sheets", "/bytes/1073741824");
  BOOST_TEST(Sheet.m_BodyBytes == GiB, Sheet.m_BodyBytes << Sheet.m_Error);
  BOOST_TEST(Sheet.m_IsComplete);
  // The memory limit of an entry VM is 256 MB.
  BOOST_TEST(Cluster.process(0).peakKib() < 256U * 1024);
}

BOOST_AUTO_TEST_SUITE_END()
