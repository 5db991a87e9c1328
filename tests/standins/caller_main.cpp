/// \file
/// A caller in its own process, so that tests can kill it.
///
/// Usage: standin-caller IP:PORT TICKET ID
#include "cli/caller.h"

int main(int Argc, char **Argv) {
  if (Argc != 4)
    return 2;
  auto Result = mustardspoke::sendCall(
      Argv[1], std::string("/call/order-booking/run/") + Argv[3], Argv[2],
      "{}");
  return Result.m_Outcome == "done" ? 0 : 1;
}
