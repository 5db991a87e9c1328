/// \file
/// Blocking client of the platform's services.
#pragma once

#include "core/members.h"
#include "core/store.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardspoke {

/// \brief Speaks HTTP to the platform; every call blocks up to the timeout.
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
  [[nodiscard]] std::optional<std::vector<ListedVm>> listVms() const;
  [[nodiscard]] std::optional<std::string>
  getObject(const std::string &Name) const;
  /// \returns Whether the object is certainly stored.
  [[nodiscard]] bool putObject(const std::string &Name,
                               const std::string &Text) const;

private:
  std::string m_Address;
  Duration m_Timeout;
};

} // namespace mustardspoke
