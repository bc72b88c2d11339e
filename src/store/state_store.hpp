// What the rest of the program needs of the state service.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace elmstall::store {

enum class Outcome : std::uint8_t {
  ok,
  conflict,     ///< a guard failed; nothing was executed
  missing,      ///< 404: no such key or lease
  no_lease,     ///< the lease of a `set` is over; nothing was executed
  compacted,    ///< 410: the watch must start over
  unavailable,  ///< certainly not executed (503, 429, never sent)
  unknown,      ///< may have been executed, or may yet be
  rejected,     ///< the service calls the request malformed: a defect of ours
};

struct CommitResult {
  Outcome outcome = Outcome::unknown;
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
};
struct GetResult {
  Outcome outcome = Outcome::unknown;
  wire::Entry entry;
  std::uint64_t revision = 0;  ///< with `missing`
};
struct ListResult {
  Outcome outcome = Outcome::unknown;
  wire::Listing listing;
};
struct WatchResult {
  Outcome outcome = Outcome::unknown;
  wire::Changes changes;
};
struct GrantResult {
  Outcome outcome = Outcome::unknown;
  std::uint64_t lease = 0;
};

class StateStore {
 public:
  virtual ~StateStore() = default;
  virtual void get(const std::string& key, std::function<void(GetResult)> done) = 0;
  virtual void list(const std::string& prefix, const std::string& since,
                    std::function<void(ListResult)> done) = 0;
  virtual void watch(const std::string& prefix, std::uint64_t since, double hold_s,
                     std::function<void(WatchResult)> done) = 0;
  virtual void commit(wire::Transaction transaction, std::function<void(CommitResult)> done) = 0;
  virtual void grant(double life_s, std::function<void(GrantResult)> done) = 0;
  virtual void renew(std::uint64_t lease, std::function<void(Outcome)> done) = 0;
};

}  // namespace elmstall::store
