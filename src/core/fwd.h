/// \file
/// Forward declarations of the decision core's types.
#pragma once

#include <cstdint>

namespace mustardspoke {

template <class Tag> class Name;
enum class ErrorKind : std::uint8_t;
enum class Outcome : std::uint8_t;
struct Bundle;
struct Service;
struct Upstream;
struct Strategies;
struct Ticket;
class Call;
class LimitTable;
class MemberTable;
class Node;
class PrefixTable;
class ShareManager;
class TicketTable;
class UpstreamState;
class WaitQueue;

} // namespace mustardspoke
