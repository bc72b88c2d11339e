/// @file
/// The cloud's interface as used by the rest of the program.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace elmstall::clients {

/// Outcome of a request to provision machines.
struct ProvisionResult {
  /// What is known about the execution of the request.
  enum class Outcome : std::uint8_t {
    ok,           ///< machines were provisioned, possibly fewer than requested
    no_capacity,  ///< none was provisioned, since the cloud currently has no such machine
    unavailable,  ///< the cloud's interface is faulty or limits the rate; may be retried
    unknown,      ///< machines may have been provisioned; must be retried with the same name
    rejected,     ///< the request is invalid, and would be rejected again
  };
  Outcome outcome = Outcome::unknown;  ///< determines whether the request must be retried
  std::vector<std::string> machines;   ///< ids of the provisioned machines, after `ok`
};

/// The cloud's interface. All calls and callbacks are made on the event loop's thread.
///
/// Each callback is called once, after the call has returned. It may be called after its receiver
/// has been destroyed, unless it was wrapped by a `runtime::CommandScope`. Errors are reported as
/// outcomes or as empty optionals, never as exceptions.
class Cloud {
 public:
  virtual ~Cloud() = default;

  /// Reads the machine types that the cloud offers. Nothing on a failure.
  virtual void machine_types(
      std::function<void(std::optional<std::vector<wire::MachineType>>)> done) = 0;

  /// Reads one page of the list of provisioned machines, beginning after the machine with the id
  /// `since`, or with the first machine if that is empty. Nothing on a failure. The list may lag
  /// behind provisioning and termination.
  virtual void list(const std::string& since,
                    std::function<void(std::optional<wire::CloudPage>)> done) = 0;

  /// Provisions `count` machines. `name` is the idempotency key of the request: the cloud answers a
  /// repeated request as it answered the first one, and provisions no further machines
  /// (docs/design.md, rule 9). `spot` asks for machines that cost less but may be interrupted.
  virtual void provision(const std::string& name, const std::string& type, const std::string& zone,
                         bool spot, int count, std::function<void(ProvisionResult)> done) = 0;

  /// Terminates machines. True: the machines and everything on them are gone. False: the outcome is
  /// unknown, and the request must be retried.
  virtual void terminate(const std::vector<std::string>& machines,
                         std::function<void(bool)> done) = 0;
};

}  // namespace elmstall::clients
