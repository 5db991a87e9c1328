/// \file
/// Blocking HTTP client of the platform's services.
#pragma once

#include "core/members.h"
#include "core/store.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardspoke {

/// \brief Client of the platform; each call blocks for at most the timeout.
///
/// | service | request | answer |
/// |---|---|---|
/// | table | POST /table/scan `{"since":N}` | `{"revision":N,"rows":[..]}` |
/// | table | POST /table/commit `{"writes":[..]}` | `{"revision":N}`, 409 |
/// | objects | GET or PUT /objects/NAME | the text, 404 |
/// | VM list | GET /vms | `{"vms":[..]}` |
class PlatformClient {
public:
  PlatformClient(std::string Address, Duration Timeout)
      : m_Address(std::move(Address)), m_Timeout(Timeout) {}

  [[nodiscard]] StoreReply execute(const StoreRequest &Request) const;
  /// \returns Nothing if the list can't be read.
  [[nodiscard]] std::optional<std::vector<ListedVm>> listVms() const;
  /// \returns Nothing if the object doesn't exist or can't be read.
  [[nodiscard]] std::optional<std::string>
  getObject(const std::string &Name) const;
  /// \returns True only if the platform confirmed that the object is stored;
  /// after false it may be stored nevertheless.
  [[nodiscard]] bool putObject(const std::string &Name,
                               const std::string &Text) const;

private:
  std::string m_Address;
  Duration m_Timeout;
};

} // namespace mustardspoke
