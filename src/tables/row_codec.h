/// \file
/// JSON encoding of the platform's rows, requests and replies.
#pragma once

#include "core/members.h"
#include "core/store.h"
#include "json/json.h"

#include <optional>
#include <vector>

namespace mustardspoke {

// Each decoder returns nothing if its input is malformed.

[[nodiscard]] Json rowToJson(const Row &Value);
[[nodiscard]] std::optional<Row> rowFromJson(const Json &Object);

[[nodiscard]] Json scanReplyToJson(const StoreReply &Reply);
[[nodiscard]] std::optional<StoreReply> scanReplyFromJson(const Json &Object);

[[nodiscard]] Json commitToJson(const CommitRequest &Request);
[[nodiscard]] std::optional<CommitRequest> commitFromJson(const Json &Object);

[[nodiscard]] Json vmListToJson(const std::vector<ListedVm> &Vms);
[[nodiscard]] std::optional<std::vector<ListedVm>>
vmListFromJson(const Json &Object);

} // namespace mustardspoke
