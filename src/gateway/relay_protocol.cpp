/// \file
/// Writing and reading the fields of relayed attempts.
#include "gateway/relay_protocol.h"

#include "gateway/crash_report.h"

#include <algorithm>
#include <array>

namespace mustardspoke::steer {
namespace {

constexpr std::string_view RunField = "Mustardspoke-Run";
constexpr std::string_view RepeatableField = "Mustardspoke-Repeatable";
constexpr std::string_view ResultField = "Mustardspoke-Attempt";
constexpr std::string_view ReasonField = "Mustardspoke-Reason";
constexpr std::array AllFields{RunField, RepeatableField, ResultField,
                               ReasonField};

constexpr std::string_view NotSent = "not-sent";
constexpr std::string_view Lost = "lost";
constexpr std::string_view Yes = "yes";
constexpr std::string_view No = "no";

} // namespace

void addRelayFields(HeadWriter &Head, const RelayedAttempt &Attempt) {
  Head.field(RunField, formatFingerprint(Attempt.m_Run));
  Head.field(RepeatableField, Attempt.m_IsRepeatable ? Yes : No);
}

std::optional<RelayedAttempt> readRelayFields(const HttpHead &Request) {
  const std::string *Run = Request.find(RunField);
  const std::string *Repeatable = Request.find(RepeatableField);
  if (!Run || !Repeatable)
    return std::nullopt;
  auto Key = parseFingerprint(*Run);
  if (!Key || (*Repeatable != Yes && *Repeatable != No))
    return std::nullopt;
  return RelayedAttempt{*Key, *Repeatable == Yes};
}

bool isRelayField(std::string_view Name) {
  return std::ranges::any_of(AllFields, [Name](std::string_view Field) {
    return equalIgnoringCase(Name, Field);
  });
}

void addRelayOutcome(HeadWriter &Head, const RelayOutcome &Outcome) {
  Head.field(ResultField,
             Outcome.m_Result == RelayResult::NotSent ? NotSent : Lost);
  Head.field(ReasonField, std::string_view(Outcome.m_Reason));
}

RelayOutcome readRelayOutcome(const HttpHead &Response) {
  RelayOutcome Outcome;
  const std::string *Result = Response.find(ResultField);
  if (!Result)
    return Outcome;
  // Any other value leaves open whether the upstream ran the request.
  Outcome.m_Result =
      *Result == NotSent ? RelayResult::NotSent : RelayResult::Lost;
  if (const std::string *Reason = Response.find(ReasonField))
    Outcome.m_Reason = *Reason;
  return Outcome;
}

} // namespace mustardspoke::steer
