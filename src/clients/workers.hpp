// What the rest of the program needs to command workers directly.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace elmstall::clients {

struct OrdersResult {
  enum class Outcome : std::uint8_t {
    done,     ///< executed
    refused,  ///< nothing was executed: token or session did not match
    never,    ///< certainly not executed: the worker was not reached
    unknown,  ///< may have been executed, or may yet be
  };
  Outcome outcome = Outcome::unknown;
  /// The worker's report after `done` or `refused`.
  std::optional<wire::Report> report;
};

class Workers {
 public:
  virtual ~Workers() = default;
  virtual void order(const std::string& addr, std::uint64_t token, std::uint64_t session,
                     const std::vector<wire::Order>& orders,
                     std::function<void(OrdersResult)> done) = 0;
};

}  // namespace elmstall::clients
