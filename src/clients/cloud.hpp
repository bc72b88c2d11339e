/// @file
/// The cloud that rents out machines, as the rest of the program sees it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace elmstall::clients {

/// Outcome of a request to rent machines.
struct ProvisionResult {
  /// What is known of the execution of the request.
  enum class Outcome : std::uint8_t {
    ok,           ///< machines were rented, perhaps fewer than were asked for
    no_capacity,  ///< nothing was rented, since the cloud has no such machine at present
    unavailable,  ///< the cloud's interface is faulty or limits the rate; may be tried again
    unknown,      ///< machines may have been rented; the request must be repeated under its name
    rejected,     ///< the request is wrong, and would be refused again
  };
  Outcome outcome = Outcome::unknown;  ///< decides whether the request must be repeated
  std::vector<std::string> machines;   ///< ids of the machines that were rented, after `ok`
};

/// The cloud's interface. All calls and callbacks are made on the event loop's thread.
///
/// Each callback is called once, later, and never from inside the call. It may be called after its
/// receiver has been destroyed, unless it was wrapped by a `runtime::CommandScope`. Errors come as
/// outcomes or as empty optionals; no call throws for them.
class Cloud {
 public:
  virtual ~Cloud() = default;

  /// Reads the types of machines that can be rented. Nothing on a failure.
  virtual void machine_types(
      std::function<void(std::optional<std::vector<wire::MachineType>>)> done) = 0;

  /// Reads one page of the list of rented machines, beginning after the machine with the id
  /// `since`, or with the first machine if that is empty. Nothing on a failure. The list may lag
  /// behind rentals and terminations.
  virtual void list(const std::string& since,
                    std::function<void(std::optional<wire::CloudPage>)> done) = 0;

  /// Rents `count` machines. `name` identifies the request: the cloud answers a repeated request
  /// as it answered the first one, and rents nothing more (docs/design.md, rule 9). `spot` asks for
  /// machines that cost less but may be interrupted.
  virtual void provision(const std::string& name, const std::string& type, const std::string& zone,
                         bool spot, int count, std::function<void(ProvisionResult)> done) = 0;

  /// Gives machines back. True: the machines and everything on them are gone. False: unknown, and
  /// to be tried again.
  virtual void terminate(const std::vector<std::string>& machines,
                         std::function<void(bool)> done) = 0;
};

}  // namespace elmstall::clients
