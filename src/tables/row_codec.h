/// \file
/// JSON forms of rows, requests and replies of the platform's services.
#pragma once

#include "core/members.h"
#include "core/store.h"
#include "json/json.h"

#include <optional>
#include <vector>

namespace mustardspoke {

[[nodiscard]] Json rowToJson(const Row &From);
/// \returns Nothing if \p From is no row.
[[nodiscard]] std::optional<Row> rowFromJson(const Json &From);

[[nodiscard]] Json scanReplyToJson(const StoreReply &From);
[[nodiscard]] std::optional<StoreReply> scanReplyFromJson(const Json &From);

[[nodiscard]] Json commitToJson(const CommitRequest &From);
[[nodiscard]] std::optional<CommitRequest> commitFromJson(const Json &From);

[[nodiscard]] Json vmListToJson(const std::vector<ListedVm> &From);
[[nodiscard]] std::optional<std::vector<ListedVm>>
vmListFromJson(const Json &From);

} // namespace mustardspoke
